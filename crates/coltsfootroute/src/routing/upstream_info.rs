//! Information about an upstream from membership.

use crate::{
    id::{Incarnation, NodeId},
    name::{DomainName, RegionName},
};

record_type! {
    /// An upstream as membership announces it.
    pub struct UpstreamInfo {
        /// Node beside the upstream.
        pub node: NodeId,
        /// Incarnation of the node.
        pub incarnation: Incarnation,
        /// Failure domain of the host.
        pub domain: DomainName,
        /// Region of the host.
        pub region: RegionName,
        /// Number of calls that the upstream can process concurrently.
        pub slots: u32,
        /// Number of connections that the upstream accepts.
        pub connections: u32,
        /// Whether it has announced that it is leaving; never undone within an incarnation.
        pub leaving: bool,
        /// Whether membership suspects that it has failed.
        pub suspect: bool,
    }
}
