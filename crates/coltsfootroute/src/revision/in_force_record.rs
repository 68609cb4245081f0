//! Record of a node putting a revision in force.

use super::{ChainDigest, Revision};
use crate::id::NodeId;

record_type! {
    /// Record of one node putting one revision in force.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct InForceRecord {
        /// Revision put in force.
        pub revision: Revision,
        /// Chain digest of the revision's record, which identifies the history that it belongs to.
        pub chain: ChainDigest,
        /// Node that put the revision in force.
        pub node: NodeId,
        /// Wall-clock time at the node, in milliseconds since the Unix epoch.
        pub wall_ms: u64,
    }
}
