//! Addresses that a node listens on.

use std::net::SocketAddr;

/// Addresses that a node listens on.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddresses {
    /// For clients.
    pub client: SocketAddr,
    /// For the upstream beside the node and for operators.
    pub host: SocketAddr,
    /// For other nodes.
    pub peer: SocketAddr,
}
