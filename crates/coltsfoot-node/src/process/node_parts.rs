//! State shared by the duties of one node, and the parts from which each duty is built.

use std::{sync::Arc, time::Duration};

use coltsfootroute::{
    admission::ShedPolicy,
    drain::DrainSettings,
    id::NodeId,
    membership::{GossipSettings, MemberRecord},
    table::RateShare,
};
use rustix::process::{Resource, getrlimit};
use tokio::sync::mpsc;

use super::DrainSwitch;
use crate::{
    answers::AnswerTracker,
    border::{RepeatGuard, UpstreamDialect},
    clock::MonotonicClock,
    config::{ConfigCell, ConfigHandle, ConfigOrigin, ConfigParts, FreshnessCell},
    dispatch::{DispatchHandle, DispatchParts, NodeIdentity},
    gossip::{GossipCommand, GossipParts},
    http::{ClientState, HostState, PartLimits},
    journal::{EventReader, EventSender},
    memory::MemoryPool,
    metrics::NodeMetrics,
    settings::NodeSettings,
    store::{StoreHandle, StoreSettings},
};

/// State shared by the duties of one node.
pub struct NodeParts<'a> {
    /// Settings of the node.
    pub settings: &'a NodeSettings,
    /// Clock of the process.
    pub clock: MonotonicClock,
    /// Identity of the node.
    pub identity: NodeIdentity,
    /// Dialect of the headers between node and upstream.
    pub dialect: UpstreamDialect,
    /// Mechanism that prevents non-repeatable requests from running twice.
    pub repeat_guard: RepeatGuard,
    /// System that accepts configurations.
    pub origin: ConfigOrigin,
    /// Policy that sets the guard's shed level.
    pub shed_policy: ShedPolicy,
    /// Seed of the node's random generators.
    pub seed: u64,
    /// Cell that holds the configuration in force.
    pub cell: ConfigCell,
    /// Latest proof that the configuration in force is the newest revision.
    pub freshness: FreshnessCell,
    /// Handle of the platform's services.
    pub store: StoreHandle,
    /// Handle of the dispatch duty.
    pub dispatch: DispatchHandle,
    /// Handle of the configuration duty.
    pub config: ConfigHandle,
    /// Channel to the gossip duty.
    pub gossip: mpsc::Sender<GossipCommand>,
    /// Answers that the node still has to hand over.
    pub answers: AnswerTracker,
    /// Memory of the process for requests and answers.
    pub memory: MemoryPool,
    /// Metrics of the node.
    pub metrics: Arc<NodeMetrics>,
    /// Sender of the node's events.
    pub events: EventSender,
}

impl NodeParts<'_> {
    /// Returns the parts of the gossip duty.
    pub fn gossip(&self) -> GossipParts {
        let peers = self.settings_peers();
        GossipParts {
            clock: self.clock,
            settings: GossipSettings::new().with_peers(peers),
            record: MemberRecord::new(
                self.identity.node,
                self.identity.incarnation,
                self.identity.domain.clone(),
                self.identity.region.clone(),
            ),
            dispatch: self.dispatch.clone(),
            config: self.config.clone(),
            freshness: self.freshness.clone(),
            metrics: self.metrics.clone(),
            events: self.events.clone(),
            seed: self.seed.wrapping_add(1),
        }
    }

    /// Returns the parts of the dispatch duty.
    pub fn dispatch(&self) -> DispatchParts {
        let limits = &self.settings.limits;
        DispatchParts {
            clock: self.clock,
            identity: self.identity.clone(),
            control: self.settings.control,
            scheduling: self.settings.scheduling,
            dialect: self.dialect.clone(),
            repeat_guard: self.repeat_guard,
            shed_policy: self.shed_policy,
            throttle: self.settings.retries.throttle(),
            config: self.cell.clone(),
            freshness: self.freshness.clone(),
            revoke_within: limits.revoke_within(),
            body_limit: self.part_limits().body_bytes,
            queue: u32::try_from(limits.queue).unwrap_or(u32::MAX),
            drain: DrainSettings::default()
                .with_notice(Duration::from_millis(limits.drain_notice_ms))
                .with_report_after(Duration::from_secs(limits.drain_max_s)),
            closing_time: Duration::from_millis(limits.drain_closing_ms),
            grace_time: limits.drain_grace(),
            answers: self.answers.clone(),
            store: self.store.clone(),
            has_peers: !self.settings.peers.is_empty(),
            first_start: self.settings.first_start,
            nodes: u32::try_from(self.settings.store.nodes).unwrap_or(u32::MAX),
            gossip: self.gossip.clone(),
            descriptors: descriptors(limits.descriptors),
            memory: self.memory.clone(),
            metrics: self.metrics.clone(),
            events: self.events.clone(),
            seed: self.seed,
        }
    }

    /// Returns the parts of the configuration duty.
    pub fn config(&self) -> ConfigParts {
        ConfigParts {
            origin: self.origin,
            node: self.identity.node,
            peers: self.settings_peers().collect(),
            cell: self.cell.clone(),
            freshness: self.freshness.clone(),
            clock: self.clock,
            revoke_within: self.settings.limits.revoke_within(),
            store: self.store.clone(),
            dispatch: self.dispatch.clone(),
            gossip: self.gossip.clone(),
            events: self.events.clone(),
            metrics: self.metrics.clone(),
        }
    }

    /// Returns the state of the listener for clients.
    pub fn client_state(&self) -> ClientState {
        ClientState {
            clock: self.clock,
            dispatch: self.dispatch.clone(),
            memory: self.memory.clone(),
            metrics: self.metrics.clone(),
            limits: self.part_limits(),
            answers: self.answers.clone(),
        }
    }

    /// Returns the state of the listener on the host address.
    pub fn host_state(&self, events: EventReader, drain: DrainSwitch) -> HostState {
        HostState {
            clock: self.clock,
            dispatch: self.dispatch.clone(),
            config: self.config.clone(),
            events,
            memory: self.memory.clone(),
            metrics: self.metrics.clone(),
            drain,
            limits: self.part_limits(),
            answers: self.answers.clone(),
        }
    }

    fn settings_peers(&self) -> impl Iterator<Item = NodeId> {
        self.settings.peers.iter().copied().map(NodeId)
    }

    fn part_limits(&self) -> PartLimits {
        let bytes = |most| usize::try_from(most).unwrap_or(usize::MAX);
        let limits = &self.settings.limits;
        PartLimits { head_bytes: bytes(limits.header_bytes), body_bytes: bytes(limits.body_bytes) }
    }
}

/// Returns the number of descriptors that the process may have open: as many as the settings `stated`, and no more than the
/// system allows.
fn descriptors(stated: Option<u64>) -> usize {
    let allowed = getrlimit(Resource::Nofile).current;
    let most = stated.into_iter().chain(allowed).min();
    most.and_then(|most| usize::try_from(most).ok()).unwrap_or(usize::MAX)
}

/// Returns the settings of the store client.
pub fn store_settings(settings: &NodeSettings, seed: u64) -> StoreSettings {
    let mut store = StoreSettings::new(settings.store.table);
    store.objects = settings.store.objects.unwrap_or(settings.store.table);
    store.seed = seed.wrapping_add(2);
    // Rates are whole numbers of at most a million, which a double holds exactly.
    store.with_share(RateShare {
        writes_per_s: settings.store.writes_per_s as f64,
        reads_per_s: settings.store.reads_per_s as f64,
        nodes: u32::try_from(settings.store.nodes).unwrap_or(u32::MAX),
        ..RateShare::default()
    })
}
