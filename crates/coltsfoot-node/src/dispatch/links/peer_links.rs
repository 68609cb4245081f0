//! Connections to other nodes, opened on first use.

use std::{cell::Cell, time::Duration};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use coltsfoot_wire::{
    peer::{CallReply, CallRequest},
    peer_capnp::peer,
};
use coltsfootroute::{id::NodeId, time::MonotonicTime};
use rustix::net::sockopt::set_tcp_user_timeout;
use tokio::{net::TcpStream, time::timeout};

use super::{
    call_link::CallLink,
    large_call::LargeCall,
    link_stream::link_stream,
    link_table::{LinkRegistration, LinkTable},
};
use crate::{clock::MonotonicClock, memory::MemoryPool};

/// Timeout for opening a connection to a node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time in milliseconds after which a connection is closed if its peer has not acknowledged sent data. Hosts of one
/// region acknowledge within a few milliseconds; a lost packet is retransmitted twice within this time.
const TCP_USER_TIMEOUT_MS: u32 = 1_500;
/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Error of a request to a node that could not be sent, or was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LinkError {
    /// There is no connection; nothing was sent.
    #[error("the node cannot be reached")]
    Unreachable,
    /// The connection ended while the call was in flight; the call may have run.
    #[error("the connection to the node has ended")]
    Ended,
}

/// A connection to a node for requests other than calls.
#[derive(Clone)]
pub struct PeerLink {
    client: peer::Client,
    serial: u64,
}

impl PeerLink {
    /// Returns the client of the remote interface.
    pub fn client(&self) -> &peer::Client {
        &self.client
    }
}

/// Connections to other nodes, opened on first use: one per node for calls, and one for all other requests, which are
/// few.
pub struct PeerLinks {
    clock: MonotonicClock,
    memory: MemoryPool,
    requests: LinkTable<PeerLink>,
    calls: LinkTable<CallLink>,
}

impl PeerLinks {
    /// Creates a `PeerLinks` without connections, whose replies are held in `memory`.
    pub fn new(clock: MonotonicClock, memory: MemoryPool) -> Self {
        Self { clock, memory, requests: LinkTable::new(), calls: LinkTable::new() }
    }

    /// Returns the connection to `node` for requests other than calls.
    ///
    /// # Errors
    ///
    /// [`LinkError::Unreachable`] if the node does not accept it in time.
    pub async fn get(&self, node: NodeId) -> Result<PeerLink, LinkError> {
        self.requests
            .get(self.clock.now(), node, async |registration| open_link(node, registration).await)
            .await
    }

    /// Returns the connection to `node` for calls.
    ///
    /// # Errors
    ///
    /// [`LinkError::Unreachable`] if the node does not accept it in time.
    pub async fn call_link(&self, node: NodeId) -> Result<CallLink, LinkError> {
        let open = async |registration| {
            Ok(CallLink::open(connect(node).await?, self.memory.clone(), registration))
        };
        self.calls.get(self.clock.now(), node, open).await
    }

    /// Sends a call with a large body to `node`, on a connection of its own; sets `is_sent` as soon as the call may run.
    ///
    /// # Errors
    ///
    /// [`LinkError::Unreachable`] if the node does not accept the connection or the body; [`LinkError::Ended`] if the
    /// connection ends later, in which case the call may have run.
    pub async fn call_large(
        &self,
        node: NodeId,
        call: impl FnOnce() -> CallRequest,
        is_sent: &Cell<bool>,
    ) -> Result<CallReply, LinkError> {
        let connection = LargeCall::new(connect(node).await?);
        connection.call(call(), &self.memory, is_sent).await
    }

    /// Removes a failed connection, unless it has been replaced since.
    pub fn failed(&self, node: NodeId, link: &PeerLink) {
        self.requests.remove_failed(node, link.serial);
    }

    /// Closes connections that have not been used for `IDLE_TIMEOUT`.
    pub fn close_idle(&self) {
        let now = self.clock.now();
        if now.since(MonotonicTime::ZERO) > IDLE_TIMEOUT {
            self.requests.close_unused(now - IDLE_TIMEOUT);
            self.calls.close_unused(now - IDLE_TIMEOUT);
        }
    }

    /// Returns the number of connections.
    pub fn count(&self) -> usize {
        self.requests.count() + self.calls.count()
    }
}

async fn open_link(
    node: NodeId,
    registration: LinkRegistration<PeerLink>,
) -> Result<PeerLink, LinkError> {
    let (reader, writer) = link_stream(connect(node).await?);
    let network = VatNetwork::new(reader, writer, Side::Client, Default::default());
    let mut system = RpcSystem::new(Box::new(network), None);
    let client = system.bootstrap(Side::Server);
    let serial = registration.serial();
    tokio::task::spawn_local(async move {
        // Ends when the connection fails or its last user drops the client.
        let _ = system.await;
        drop(registration);
    });
    Ok(PeerLink { client, serial })
}

async fn connect(node: NodeId) -> Result<TcpStream, LinkError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(node.0))
        .await
        .map_err(|_| LinkError::Unreachable)?
        .map_err(|_| LinkError::Unreachable)?;
    stream.set_nodelay(true).map_err(|_| LinkError::Unreachable)?;
    // Without this timeout, a host that disappears without closing the connection blocks each call until its deadline.
    set_tcp_user_timeout(&stream, TCP_USER_TIMEOUT_MS).map_err(|_| LinkError::Unreachable)?;
    Ok(stream)
}
