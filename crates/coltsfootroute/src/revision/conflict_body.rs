//! Body of a conflict.

use super::RevisionRecord;
use crate::schema::SchemaDiff;

record_type! {
    /// Answer 409 to a submission.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct ConflictBody {
        /// Why, in words.
        pub reason: String,
        /// Record of the newest revision, if it is known and there is one.
        pub current: Option<RevisionRecord>,
        /// What was changed between the revision expected and the newest.
        pub diff: SchemaDiff,
    }
}
