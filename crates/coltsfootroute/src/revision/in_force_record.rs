//! When a node put a revision in force.

use super::{ChainDigest, Revision};
use crate::id::NodeId;

record_type! {
    /// One node put one revision in force.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct InForceRecord {
        /// The revision.
        pub revision: Revision,
        /// Chain digest of its record, which ties this one to the history.
        pub chain: ChainDigest,
        /// The node.
        pub node: NodeId,
        /// The node's wall clock, in milliseconds since the Unix epoch.
        pub wall_ms: u64,
    }
}
