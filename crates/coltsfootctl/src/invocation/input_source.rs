//! Where input comes from.

use std::net::SocketAddr;

/// Where a document or a history comes from.
#[derive(Clone, Debug)]
pub enum InputSource {
    /// A file.
    File(String),
    /// A node.
    Node(SocketAddr),
}
