//! Starting and stopping a node.

use std::sync::Arc;
use std::{
    net::{SocketAddr, TcpListener, UdpSocket},
    time::Duration,
};

use coltsfootroute::{
    event::EventKind,
    id::{Incarnation, NodeId},
    membership::{GossipSettings, MemberRecord},
    table::RateShare,
};
use rand::RngExt;
use tokio::sync::oneshot;

use super::{DrainSwitch, NodeError};
use crate::{
    clock::{MonotonicClock, wall_millis},
    config::{ConfigCell, ConfigParts, ConfigThread},
    dispatch::{DispatchCommand, DispatchHandle, DispatchParts, DispatchThread, NodeIdentity},
    gossip::{GossipParts, GossipThread},
    http::{ClientState, HostState, HttpListener},
    journal::{EventJournal, JournalHandle},
    metrics::NodeMetrics,
    settings::NodeSettings,
    store::{StoreSettings, StoreThread},
};

/// How often a port is drawn that is free for TCP until it is free for UDP as well.
const PORT_ATTEMPTS: usize = 16;
/// Clients get so long to hear from refusals that the node leaves, before it refuses connections: one
/// that the kernel has taken but the node has not is cut off then.
const REFUSAL_TIME: Duration = Duration::from_millis(300);
/// After the last request has ended, its answer gets so long to reach the caller.
const ANSWER_GRACE: Duration = Duration::from_millis(200);

/// Addresses that the node listens on.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddresses {
    /// For clients.
    pub client: SocketAddr,
    /// For the upstream beside the node and for operators.
    pub host: SocketAddr,
    /// For other nodes.
    pub peer: SocketAddr,
}

/// A running node.
pub struct NodeProcess {
    addresses: NodeAddresses,
    client: HttpListener,
    host: HttpListener,
    dispatch: DispatchHandle,
    journal: JournalHandle,
}

impl NodeProcess {
    /// Opens the listeners and starts a thread for each duty.
    ///
    /// # Errors
    ///
    /// [`NodeError`] if an address cannot be listened on or a thread cannot start.
    pub fn start(settings: NodeSettings, drain: DrainSwitch) -> Result<Self, NodeError> {
        let clock = MonotonicClock::new();
        let client = listen("client", settings.listen.client)?;
        let host = listen("host", settings.listen.host)?;
        let (peer, gossip_socket) = listen_peer(settings.listen.peer)?;
        let addresses = NodeAddresses {
            client: client.local_addr()?,
            host: host.local_addr()?,
            peer: peer.local_addr()?,
        };
        let identity = NodeIdentity {
            node: NodeId(addresses.peer),
            incarnation: Incarnation(wall_millis()),
            domain: settings.domain.clone(),
            region: settings.region.clone(),
        };
        let seed = settings.limits.seed.unwrap_or_else(|| rand::rng().random());

        let journal = EventJournal::new(identity.node, identity.incarnation);
        let (events, reader) = (journal.sender(), journal.reader());
        let journal = journal.spawn()?;
        events.emit(EventKind::Started {
            incarnation: identity.incarnation,
            region: identity.region.clone(),
            domain: identity.domain.clone(),
        });
        events.emit(EventKind::Listening {
            client: addresses.client,
            host: addresses.host,
            peer: addresses.peer,
        });
        let metrics = Arc::new(NodeMetrics::new()?);
        let store = StoreThread::start(store_settings(&settings, seed))?;
        let (dispatch, dispatch_ring) = DispatchThread::ring();
        let (config, config_ring) = ConfigThread::ring();
        let (gossip, gossip_ring) = GossipThread::ring();
        let cell = ConfigCell::default();
        let body_limit = usize::try_from(settings.limits.body_bytes).unwrap_or(usize::MAX);

        let record = MemberRecord::new(
            identity.node,
            identity.incarnation,
            identity.domain.clone(),
            identity.region.clone(),
        );
        let gossip_parts = GossipParts {
            clock,
            settings: GossipSettings::new().with_peers(settings.peers.iter().copied().map(NodeId)),
            record,
            dispatch: dispatch.clone(),
            config: config.clone(),
            metrics: metrics.clone(),
            seed: seed.wrapping_add(1),
        };
        GossipThread::start(gossip_parts, gossip_socket, gossip_ring)?;
        let dispatch_parts = DispatchParts {
            clock,
            identity,
            control: settings.control,
            config: cell.clone(),
            body_limit,
            drain_notice: Duration::from_millis(settings.limits.drain_notice_ms),
            store: store.clone(),
            nodes: u32::try_from(settings.store.nodes).unwrap_or(u32::MAX),
            gossip: gossip.clone(),
            metrics: metrics.clone(),
            events: events.clone(),
            seed,
        };
        DispatchThread::start(dispatch_parts, peer, dispatch_ring)?;
        let config_parts = ConfigParts {
            node: NodeId(addresses.peer),
            peers: settings.peers.iter().copied().map(NodeId).collect(),
            cell,
            store,
            dispatch: dispatch.clone(),
            gossip,
            events: events.clone(),
        };
        ConfigThread::start(config_parts, config_ring)?;

        let client_state = ClientState { clock, dispatch: dispatch.clone(), body_limit };
        let host_state = HostState {
            clock,
            dispatch: dispatch.clone(),
            config,
            events: reader,
            metrics,
            drain,
            body_limit,
        };
        Ok(Self {
            addresses,
            client: HttpListener::start_client(client, client_state)?,
            host: HttpListener::start_host(host, host_state)?,
            dispatch,
            journal,
        })
    }

    /// Addresses that the node listens on.
    pub fn addresses(&self) -> NodeAddresses {
        self.addresses
    }

    /// A planned stop: leaves, waits until nothing is in flight, refuses what still comes, then
    /// ends the listeners.
    pub fn stop(self) {
        let (done, drained) = oneshot::channel();
        let dispatch = self.dispatch.clone();
        // A runtime for one command: this thread has none of its own.
        if let Ok(runtime) = tokio::runtime::Builder::new_current_thread().build() {
            runtime.block_on(async move {
                dispatch.tell(DispatchCommand::Drain(done)).await;
                // An error means that the dispatch duty is gone, and nothing is in flight with it.
                let _ = drained.await;
            });
        }
        std::thread::sleep(REFUSAL_TIME);
        self.client.close();
        self.host.close();
        std::thread::sleep(ANSWER_GRACE);
        self.client.stop();
        self.host.stop();
        self.journal.stop();
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
            Err(_) if address.port() == 0 && attempt < PORT_ATTEMPTS => attempt += 1,
            Err(source) => return Err(fail(source)),
        }
    }
}

fn store_settings(settings: &NodeSettings, seed: u64) -> StoreSettings {
    let mut store = StoreSettings::new(settings.store.table);
    store.objects = settings.store.objects.unwrap_or(settings.store.table);
    store.seed = seed.wrapping_add(2);
    store.share = RateShare {
        writes_per_s: settings.store.writes_per_s as f64,
        reads_per_s: settings.store.reads_per_s as f64,
        nodes: u32::try_from(settings.store.nodes).unwrap_or(u32::MAX),
        ..RateShare::default()
    };
    store
}
