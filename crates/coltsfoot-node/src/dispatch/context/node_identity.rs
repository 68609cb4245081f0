//! Identity and location of the node.

use coltsfootroute::{
    id::{Incarnation, NodeId},
    name::{DomainName, RegionName},
};

/// Identity and location of the node; immutable.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// Peer address of the node.
    pub node: NodeId,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Region of the host.
    pub region: RegionName,
}
