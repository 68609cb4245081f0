//! What the dispatch duty knows of its own node.

use coltsfootroute::{
    id::{Incarnation, NodeId},
    name::{DomainName, RegionName},
};

/// What the dispatch duty knows of its own node; immutable.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// Peer address of the node.
    pub node: NodeId,
    /// This life of the node.
    pub incarnation: Incarnation,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Region of the host.
    pub region: RegionName,
}
