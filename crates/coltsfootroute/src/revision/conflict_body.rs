//! Body of a conflict.

use super::RevisionRecord;
use crate::schema::SchemaDiff;

record_type! {
    /// Answer 409 to a submission. Clients ignore fields that they don't know.
    #[derive(serde::Serialize, serde::Deserialize)]
    pub struct ConflictBody {
        /// Why, in words.
        pub reason: String,
        /// Record of the newest revision, if it is known and there is one.
        #[serde(default)]
        pub current: Option<RevisionRecord>,
        /// What was changed between the revision expected and the newest.
        #[serde(default)]
        pub diff: SchemaDiff,
    }
}
