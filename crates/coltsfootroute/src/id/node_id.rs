//! Identifier of a node.

use std::net::SocketAddr;

value_type! {
    /// Node, identified by its peer address. Calls between nodes use TCP and gossip uses UDP, on the same port.
    ///
    /// Two instances of a process at one address differ by [`Incarnation`](super::Incarnation).
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(transparent)]
    pub struct NodeId(pub SocketAddr);
}

impl std::fmt::Display for NodeId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}
