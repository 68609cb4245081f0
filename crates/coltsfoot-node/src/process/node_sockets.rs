//! Opening what a node listens on.

use std::net::{SocketAddr, TcpListener, UdpSocket};

use super::{NodeAddresses, NodeError};
use crate::settings::ListenSettings;

/// How often a port is drawn that is free for TCP until it is free for UDP as well.
const MAX_PORT_RETRIES: usize = 16;

/// What a node listens on, open.
pub struct NodeSockets {
    /// For clients.
    pub client: TcpListener,
    /// For the upstream beside the node and for operators.
    pub host: TcpListener,
    /// For calls of other nodes.
    pub peer: TcpListener,
    /// For gossip, on the port of `peer`.
    pub gossip: UdpSocket,
    /// Where they are.
    pub addresses: NodeAddresses,
}

impl NodeSockets {
    /// Opens all of them.
    ///
    /// # Errors
    ///
    /// [`NodeError::Listen`] names the first address that cannot be listened on.
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

/// TCP and UDP on the same port, since one address identifies the node.
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
