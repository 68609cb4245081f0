//! Addresses a node listens on.

use std::net::SocketAddr;

use super::{field_reader::FieldReader, setting_value::ListenAddress};

/// Addresses a node listens on; port 0 takes any free port, shown by the `listening` event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// Clients' calls over HTTP.
    pub client: SocketAddr,
    /// The upstream beside the node, operators and metrics, over HTTP.
    pub host: SocketAddr,
    /// Other nodes: TCP for calls, UDP for gossip, same port. Names the node unless it is `advertised`.
    pub peer: SocketAddr,
    /// Where other nodes reach the node, if an address translation lies between. Names the node.
    pub advertised: Option<SocketAddr>,
}

impl ListenSettings {
    pub(super) fn read(reader: &mut FieldReader<'_>) -> Option<Self> {
        let client = reader.required::<ListenAddress>("client");
        let host = reader.required::<ListenAddress>("host");
        let peer = reader.required::<ListenAddress>("peer");
        let advertised = reader.optional("advertised");
        Some(Self { client: client?.0, host: host?.0, peer: peer?.0, advertised })
    }
}
