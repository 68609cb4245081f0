//! A revision with its spread.

use super::{InForceRecord, RevisionRecord};

record_type! {
    /// A revision and the nodes known to have put it in force.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct HistoryRecord {
        /// The revision's record.
        pub record: RevisionRecord,
        /// Nodes known to have put it in force, in the order in which that became known; a node that had
        /// passed on to a later revision at once isn't among them.
        pub in_force: Vec<InForceRecord>,
    }
}
