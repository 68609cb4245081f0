//! Response body of a conflicting submission.

use super::RevisionRecord;
use crate::schema::SchemaDiff;

record_type! {
    /// Body of a 409 response to a submission. Clients ignore unknown fields.
    #[derive(serde::Serialize, serde::Deserialize)]
    pub struct ConflictBody {
        /// Human-readable reason.
        pub reason: String,
        /// Record of the newest revision; `None` if there is none or it is unknown.
        #[serde(default)]
        pub current: Option<RevisionRecord>,
        /// Changes from the expected revision to the newest.
        #[serde(default)]
        pub diff: SchemaDiff,
    }
}
