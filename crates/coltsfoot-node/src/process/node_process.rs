//! Starts and stops a node.

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
    answers::AnswerTracker,
    border::{ClientFront, PlatformAdapter},
    clock::{MonotonicClock, wall_millis},
    config::{ConfigCell, ConfigHandle, ConfigThread, FreshnessCell},
    dispatch::{BoundFront, DispatchCommand, DispatchHandle, DispatchThread, NodeIdentity},
    gossip::GossipThread,
    http::HttpListener,
    journal::{EventJournal, EventSender, JournalHandle},
    memory::MemoryPool,
    metrics::NodeMetrics,
    settings::NodeSettings,
    store::{EraCell, StorePort, StoreThread},
};

/// Time in which the node refuses requests before it refuses connections, so that clients without earlier notice see
/// that it is leaving. Once it refuses connections, one that the kernel has accepted but the node has not is cut off.
const REFUSAL_TIME: Duration = Duration::from_millis(300);
/// Time for which requests that came too late are still refused before the listeners stop.
const REFUSAL_GRACE: Duration = Duration::from_millis(200);

/// A running node.
pub struct NodeProcess {
    addresses: NodeAddresses,
    /// Built-in client listener; `None` if a client front serves clients.
    client: Option<HttpListener>,
    host: HttpListener,
    /// Time in which requests are refused before connections are; zero if clients were asked to close their connections
    /// earlier. Anything that waits for this node's upstream waits for this time as well.
    refusal_time: Duration,
    dispatch: DispatchHandle,
    config: ConfigHandle,
    freshness: FreshnessCell,
    eras: EraCell,
    clock: MonotonicClock,
    answers: AnswerTracker,
    metrics: Arc<NodeMetrics>,
    events: EventSender,
    journal: JournalHandle,
}

impl NodeProcess {
    /// Opens the listeners and starts a thread for each duty.
    ///
    /// # Errors
    ///
    /// [`NodeError`] if the node cannot listen on an address or a thread cannot start.
    pub fn start(settings: NodeSettings, drain: DrainSwitch) -> Result<Self, NodeError> {
        Self::start_with(settings, drain, PlatformAdapter::own())
    }

    /// Starts a node like [`NodeProcess::start`], with `border` as the interface to the platform.
    ///
    /// # Errors
    ///
    /// Same as [`NodeProcess::start`].
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
        let clock = MonotonicClock::new();
        let parts = NodeParts {
            settings: &settings,
            clock,
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
            answers: AnswerTracker::new(clock),
            memory: MemoryPool::new(settings.limits.memory_bytes(), clock),
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
            eras: parts.store.eras().clone(),
            clock: parts.clock,
            answers: parts.answers,
            metrics: parts.metrics,
            events: parts.events,
            journal,
        })
    }

    /// Returns the listening addresses of the node.
    pub fn addresses(&self) -> NodeAddresses {
        self.addresses
    }

    /// Returns the handle of the configuration duty, for a component that follows an external history.
    pub fn config(&self) -> ConfigHandle {
        self.config.clone()
    }

    /// Returns the cell in which a component that follows an external history records proofs that the configuration in
    /// force is the newest.
    pub fn freshness(&self) -> FreshnessCell {
        self.freshness.clone()
    }

    /// Returns the cell of the eras that the store states, for a component that reads the store by itself.
    pub fn eras(&self) -> EraCell {
        self.eras.clone()
    }

    /// Returns the clock of the node.
    pub fn clock(&self) -> MonotonicClock {
        self.clock
    }

    /// Returns the metrics of the node.
    pub fn metrics(&self) -> Arc<NodeMetrics> {
        self.metrics.clone()
    }

    /// Performs a planned stop: leaves the membership, waits until no request is in flight and every answer has been
    /// handed over, refuses further requests, then stops the listeners.
    pub fn stop(self) {
        let (done, drained) = oneshot::channel();
        let dispatch = self.dispatch.clone();
        // This thread has no runtime, so one is created for this single command.
        if let Ok(runtime) = tokio::runtime::Builder::new_current_thread().build() {
            runtime.block_on(async move {
                dispatch.tell(DispatchCommand::Drain(done)).await;
                // An error means that the dispatch duty has ended, and with it every request in flight.
                let _ = drained.await;
            });
        }
        std::thread::sleep(self.refusal_time);
        // The host listener is not closed beforehand: its server pauses for a second when its socket closes, and its
        // clients need not move to another node.
        if let Some(client) = &self.client {
            client.close();
        }
        std::thread::sleep(REFUSAL_GRACE);
        if let Some(client) = self.client {
            client.stop();
        }
        self.host.stop();
        // No request is interrupted before its caller gives up, unless the grace time of the stop is over.
        let interrupted = u32::try_from(self.answers.waiting()).unwrap_or(u32::MAX);
        self.events.emit(EventKind::Stopped { interrupted });
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
