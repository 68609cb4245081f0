//! Opens the sockets on which a node listens.

use std::net::{SocketAddr, TcpListener, UdpSocket};

use super::{NodeAddresses, NodeError};
use crate::settings::ListenSettings;

/// Maximum number of retries to find a port that is free for both TCP and UDP, if the system chooses the port.
const MAX_PORT_RETRIES: usize = 16;

/// Open sockets on which a node listens.
pub struct NodeSockets {
    /// Listener for clients.
    pub client: TcpListener,
    /// Listener for the upstream on the node's host and for operators.
    pub host: TcpListener,
    /// Listener for calls from other nodes.
    pub peer: TcpListener,
    /// Socket for gossip, on the port of `peer`.
    pub gossip: UdpSocket,
    /// Addresses of the sockets.
    pub addresses: NodeAddresses,
}

impl NodeSockets {
    /// Opens all sockets.
    ///
    /// # Errors
    ///
    /// [`NodeError::Listen`] for the first address on which the node cannot listen.
    pub fn open(settings: &ListenSettings) -> Result<Self, NodeError> {
        let client = listen("client", settings.client)?;
        let host = listen("host", settings.host)?;
        let (peer, gossip) = listen_peer(settings.peer)?;
        let addresses = NodeAddresses {
            client: client.local_addr()?,
            host: host.local_addr()?,
            peer: peer.local_addr()?,
        };
        Ok(Self { client, host, peer, gossip, addresses })
    }
}

fn listen(name: &'static str, address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address).map_err(|source| NodeError::Listen { name, address, source })
}

/// Opens TCP and UDP sockets on the same port, because a single address identifies the node.
fn listen_peer(address: SocketAddr) -> Result<(TcpListener, UdpSocket), NodeError> {
    let fail = |source| NodeError::Listen { name: "peer", address, source };
    let mut attempt = 0;
    loop {
        let listener = listen("peer", address)?;
        let bound = listener.local_addr().map_err(fail)?;
        match UdpSocket::bind(bound) {
            Ok(socket) => return Ok((listener, socket)),
            Err(_) if address.port() == 0 && attempt < MAX_PORT_RETRIES => attempt += 1,
            Err(source) => return Err(fail(source)),
        }
    }
}
