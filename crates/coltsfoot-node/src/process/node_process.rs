//! Starting and stopping a node.

use std::{sync::Arc, time::Duration};

use coltsfootroute::{
    event::EventKind,
    id::{Incarnation, NodeId},
};
use rand::RngExt;
use tokio::sync::oneshot;

use super::{
    DrainSwitch, NodeAddresses, NodeError,
    node_parts::{NodeParts, store_settings},
    node_sockets::NodeSockets,
};
use crate::{
    border::{ClientFront, PlatformAdapter},
    clock::{MonotonicClock, wall_millis},
    config::{ConfigCell, ConfigHandle, ConfigThread, FreshnessCell},
    dispatch::{BoundFront, DispatchCommand, DispatchHandle, DispatchThread, NodeIdentity},
    gossip::GossipThread,
    http::HttpListener,
    journal::{EventJournal, EventSender, JournalHandle},
    metrics::NodeMetrics,
    settings::NodeSettings,
    store::{StorePort, StoreThread},
};

/// Clients that were not told before get so long to hear from refusals that the node leaves, before it refuses
/// connections: one that the kernel has taken but the node has not is cut off then.
const REFUSAL_TIME: Duration = Duration::from_millis(300);
/// After the last request has ended, its answer gets so long to reach the caller.
const ANSWER_GRACE: Duration = Duration::from_millis(200);

/// A running node.
pub struct NodeProcess {
    addresses: NodeAddresses,
    /// The product's client listener, unless a front serves clients.
    client: Option<HttpListener>,
    host: HttpListener,
    /// Time in which clients are refused before connections are: none where they have been asked to go before. Whoever
    /// waits for this node's upstream waits for it, too.
    refusal_time: Duration,
    dispatch: DispatchHandle,
    config: ConfigHandle,
    freshness: FreshnessCell,
    clock: MonotonicClock,
    metrics: Arc<NodeMetrics>,
    events: EventSender,
    journal: JournalHandle,
}

impl NodeProcess {
    /// Opens the listeners and starts a thread for each duty.
    ///
    /// # Errors
    ///
    /// [`NodeError`] if an address cannot be listened on or a thread cannot start.
    pub fn start(settings: NodeSettings, drain: DrainSwitch) -> Result<Self, NodeError> {
        Self::start_with(settings, drain, PlatformAdapter::own())
    }

    /// Like [`NodeProcess::start`], on a platform that `adapter` connects to.
    ///
    /// # Errors
    ///
    /// As [`NodeProcess::start`].
    pub fn start_with<P: StorePort + 'static, F: ClientFront>(
        settings: NodeSettings,
        drain: DrainSwitch,
        adapter: PlatformAdapter<P, F>,
    ) -> Result<Self, NodeError> {
        let sockets = NodeSockets::open(&settings.listen)?;
        let addresses = sockets.addresses;
        let identity = identity(&settings, addresses);
        let seed = settings.limits.seed.unwrap_or_else(|| rand::rng().random());
        let metrics = Arc::new(NodeMetrics::new()?);
        let journal = EventJournal::new(identity.node, identity.incarnation);
        let (events, reader) = (journal.sender(), journal.reader());
        let journal = journal.spawn(metrics.clone())?;
        emit_start(&events, &identity, addresses);
        let store = StoreThread::start(
            adapter.open_store,
            store_settings(&settings, seed),
            metrics.clone(),
            events.clone(),
        )?;

        let (dispatch, dispatch_ring) = DispatchThread::channel();
        let (config, config_ring) = ConfigThread::ring();
        let (gossip, gossip_ring) = GossipThread::channel();
        let parts = NodeParts {
            settings: &settings,
            clock: MonotonicClock::new(),
            identity,
            dialect: adapter.dialect,
            repeat_guard: adapter.repeat_guard,
            origin: adapter.origin,
            shed_policy: adapter.shed_policy,
            seed,
            cell: ConfigCell::default(),
            freshness: FreshnessCell::default(),
            store,
            dispatch,
            config,
            gossip,
            metrics,
            events,
        };
        GossipThread::start(parts.gossip(), sockets.gossip, gossip_ring)?;
        let (client, door) = match adapter.front {
            Some(front) => (None, Some(BoundFront { front, listener: sockets.client })),
            None => (Some(HttpListener::start_client(sockets.client, parts.client_state())?), None),
        };
        DispatchThread::start(parts.dispatch(), door, sockets.peer, dispatch_ring)?;
        ConfigThread::start(parts.config(), config_ring)?;
        Ok(Self {
            addresses,
            client,
            host: HttpListener::start_host(sockets.host, parts.host_state(reader, drain))?,
            refusal_time: match settings.limits.drain_closing_ms {
                0 => REFUSAL_TIME,
                _ => Duration::ZERO,
            },
            dispatch: parts.dispatch,
            config: parts.config,
            freshness: parts.freshness,
            clock: parts.clock,
            metrics: parts.metrics,
            events: parts.events,
            journal,
        })
    }

    /// Addresses that the node listens on.
    pub fn addresses(&self) -> NodeAddresses {
        self.addresses
    }

    /// The way to the configuration duty, for whoever follows an outside history.
    pub fn config(&self) -> ConfigHandle {
        self.config.clone()
    }

    /// Where whoever follows an outside history proves that the configuration in force is the newest.
    pub fn freshness(&self) -> FreshnessCell {
        self.freshness.clone()
    }

    /// Clock of the node.
    pub fn clock(&self) -> MonotonicClock {
        self.clock
    }

    /// Metrics of the node.
    pub fn metrics(&self) -> Arc<NodeMetrics> {
        self.metrics.clone()
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
        std::thread::sleep(self.refusal_time);
        // The host's own listener is not closed first: its server pauses for a second when its socket is, and nobody
        // there has to go elsewhere.
        if let Some(client) = &self.client {
            client.close();
        }
        std::thread::sleep(ANSWER_GRACE);
        if let Some(client) = self.client {
            client.stop();
        }
        self.host.stop();
        // Nothing was in flight any more: `Drain` waits for it, however long.
        self.events.emit(EventKind::Stopped { interrupted: 0 });
        self.journal.stop();
    }
}

fn identity(settings: &NodeSettings, addresses: NodeAddresses) -> NodeIdentity {
    NodeIdentity {
        node: NodeId(settings.listen.advertised.unwrap_or(addresses.peer)),
        incarnation: Incarnation(wall_millis()),
        domain: settings.domain.clone(),
        region: settings.region.clone(),
    }
}

fn emit_start(events: &EventSender, identity: &NodeIdentity, addresses: NodeAddresses) {
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
}
