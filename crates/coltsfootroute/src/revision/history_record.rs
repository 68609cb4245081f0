//! Revision together with the nodes that have put it in force.

use super::{InForceRecord, RevisionRecord};

record_type! {
    /// Revision and the nodes known to have put it in force.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct HistoryRecord {
        /// Record of the revision.
        pub record: RevisionRecord,
        /// Nodes known to have put the revision in force, in the order in which this was observed. A node that skipped
        /// to a later revision isn't listed.
        pub in_force: Vec<InForceRecord>,
    }
}
