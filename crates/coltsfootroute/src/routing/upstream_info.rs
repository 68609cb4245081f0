//! What membership knows of an upstream.

use crate::{
    id::{Incarnation, NodeId},
    name::{DomainName, RegionName},
};

record_type! {
    /// An upstream as membership announces it.
    pub struct UpstreamInfo {
        /// Node beside the upstream.
        pub node: NodeId,
        /// Life of the node.
        pub incarnation: Incarnation,
        /// Failure domain of the host.
        pub domain: DomainName,
        /// Region of the host.
        pub region: RegionName,
        /// Calls that the upstream can work on at a time.
        pub slots: u32,
        /// Connections that the upstream takes.
        pub connections: u32,
        /// Whether it has announced its leave; never undone within a life.
        pub leaving: bool,
        /// Whether membership suspects that it has failed.
        pub suspect: bool,
    }
}
