//! Row of a revision.

use super::RevisionRecord;
use crate::schema::SchemaDocument;

record_type! {
    /// A revision. Never changed once written.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct RevisionRow {
        /// Who, when, what.
        pub record: RevisionRecord,
        /// The whole configuration.
        pub document: SchemaDocument,
    }
}
