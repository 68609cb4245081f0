//! Listening addresses of a node.

use std::net::SocketAddr;

/// Listening addresses of a node.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddresses {
    /// Address for clients.
    pub client: SocketAddr,
    /// Address for the upstream on the node's host and for operators.
    pub host: SocketAddr,
    /// Address for other nodes.
    pub peer: SocketAddr,
}
