//! Row of the table service for one revision.

use super::RevisionRecord;
use crate::schema::SchemaDocument;

record_type! {
    /// Record and content of a revision. Immutable once written.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct RevisionRow {
        /// Record of who submitted the revision, when, and with what content digest.
        pub record: RevisionRecord,
        /// Whole configuration at this revision.
        pub document: SchemaDocument,
    }
}
