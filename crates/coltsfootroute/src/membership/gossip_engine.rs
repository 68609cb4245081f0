//! The gossip of one node.

mod announcing;
mod answering;
mod joining;
mod merging;
mod pending_ping;
mod probe_round;
mod probing;
mod pulling;
mod spreading;
mod watch_state;

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};
use rand::Rng;

use self::{pending_ping::PendingPing, probe_round::ProbeRound, watch_state::WatchState};
use super::{
    BandwidthBudget, GossipCounters, GossipEffect, GossipMessage, GossipSettings, GroupView,
    MemberRecord, MembershipStatus, PullerTable, SeedTable, UpdateQueue,
};
use crate::{
    id::{Incarnation, NodeId},
    name::ServiceName,
    time::MonotonicTime,
};

/// Time between two runs of the pruning.
const PRUNE_INTERVAL: std::time::Duration = std::time::Duration::from_secs(1);

/// Failure detector and member lists of one node.
///
/// Call [`tick`](Self::tick) about ten times a second and [`receive`](Self::receive) for each datagram;
/// carry out the effects of every call. Cost per tick does not depend on the number of nodes; it does
/// on the size of the own group once per round of probes.
#[derive(Clone, Debug)]
pub struct GossipEngine {
    settings: GossipSettings,
    /// What this node says of itself. Invariant: its incarnation never falls.
    own_record: MemberRecord,
    /// The own group and the watched ones. Invariant: the own group holds `own_record`.
    groups: IndexMap<ServiceName, GroupView>,
    /// One for each group.
    watches: IndexMap<ServiceName, WatchState>,
    seeds: SeedTable,
    contacts: IndexSet<NodeId>,
    pullers: PullerTable,
    updates: UpdateQueue,
    pings: IndexMap<u64, PendingPing>,
    sequence: u64,
    round: Option<ProbeRound>,
    probe_order: Vec<NodeId>,
    probe_due: MonotonicTime,
    dead_probe_due: MonotonicTime,
    cross_ping_due: MonotonicTime,
    prune_due: MonotonicTime,
    /// Suspected members of the own group, with the life that is suspected and the time of the verdict.
    suspicions: IndexMap<NodeId, (Incarnation, MonotonicTime)>,
    /// Probes failed lately, less those answered: a node that hears nobody doubts itself first.
    health_score: u32,
    leave_repeats: u32,
    leave_due: MonotonicTime,
    budget: BandwidthBudget,
    counters: GossipCounters,
    outbox: VecDeque<(NodeId, GossipMessage)>,
    revision: u64,
    /// Who was last reported to be ahead, with its revision.
    last_ahead_report: Option<(NodeId, u64, MonotonicTime)>,
    /// Digest of the requests that this node holds back.
    quarantine: u64,
    /// When a peer with another digest may be told of again.
    quarantine_due: MonotonicTime,
    joined: bool,
    last_tick: MonotonicTime,
    effects: Vec<GossipEffect>,
}

impl GossipEngine {
    /// A node that knows the peers of its settings; `own_record` says who it is. Whatever upstream it names is
    /// left out: that is for [`announce`](Self::announce).
    pub fn new(settings: GossipSettings, own_record: MemberRecord, now: MonotonicTime) -> Self {
        let budget = BandwidthBudget::new(settings.bytes_per_second, settings.burst_bytes, now)
            .with_initial_bytes(settings.start_bytes);
        let seeds = SeedTable::new(
            settings.seeds_per_service,
            settings.max_seed_services,
            settings.seed_max_age,
        );
        let contacts =
            settings.peers.iter().copied().filter(|peer| *peer != own_record.node).collect();
        Self {
            pullers: PullerTable::new(settings.max_pullers),
            settings,
            own_record: MemberRecord::new(
                own_record.node,
                own_record.incarnation,
                own_record.domain,
                own_record.region,
            ),
            groups: IndexMap::new(),
            watches: IndexMap::new(),
            seeds,
            contacts,
            updates: UpdateQueue::new(),
            pings: IndexMap::new(),
            sequence: 0,
            round: None,
            probe_order: Vec::new(),
            probe_due: now,
            dead_probe_due: now,
            cross_ping_due: now,
            prune_due: now,
            suspicions: IndexMap::new(),
            health_score: 0,
            leave_repeats: 0,
            leave_due: now,
            budget,
            counters: GossipCounters::default(),
            outbox: VecDeque::new(),
            revision: 0,
            last_ahead_report: None,
            quarantine: 0,
            quarantine_due: now,
            joined: false,
            last_tick: now,
            effects: Vec::new(),
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: MonotonicTime, rng: &mut impl Rng) -> Vec<GossipEffect> {
        self.detect_pause(now, rng);
        self.drain_outbox(now);
        self.expire_pings(now);
        self.join(now, rng);
        self.advance_probe(now, rng);
        self.probe_dead(now, rng);
        self.expire_suspicions(now, rng);
        self.pull_watched(now, rng);
        self.ping_other_group(now, rng);
        self.repeat_leave(now, rng);
        self.prune(now);
        self.last_tick = now;
        std::mem::take(&mut self.effects)
    }

    /// Takes in a datagram that came from the address `from`.
    pub fn receive(
        &mut self,
        now: MonotonicTime,
        rng: &mut impl Rng,
        from: NodeId,
        message: GossipMessage,
    ) -> Vec<GossipEffect> {
        if from != self.own_record.node {
            self.note_revision(now, from, message.revision);
            self.note_quarantine(now, from, message.quarantine);
            self.merge_updates(now, rng, from, &message);
            self.handle_payload(now, rng, from, message);
        }
        std::mem::take(&mut self.effects)
    }

    /// Sets the revision of the configuration in force, carried on every message.
    pub fn set_revision(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Sets the digest of the requests that this node holds back, carried on every message.
    pub fn set_quarantine(&mut self, digest: u64) {
        self.quarantine = digest;
    }

    /// Live members of a watched service, or of the own one: alive or suspected.
    pub fn members(&self, service: &str) -> impl Iterator<Item = &MemberRecord> {
        self.groups.get(service).into_iter().flat_map(GroupView::live)
    }

    /// What is known of one member of a group held in detail, hidden or gone ones included.
    pub fn record(&self, service: &str, node: NodeId) -> Option<&MemberRecord> {
        self.groups.get(service)?.get(node)
    }

    /// All that is known of a service, departed and dead members included.
    pub fn records(&self, service: &str) -> impl Iterator<Item = &MemberRecord> {
        self.groups.get(service).into_iter().flat_map(GroupView::records)
    }

    /// Rises whenever the records of the service change; 0 while it is not held in detail.
    pub fn version(&self, service: &str) -> u64 {
        self.groups.get(service).map_or(0, GroupView::version)
    }

    /// What this node says of itself.
    pub fn own_record(&self) -> &MemberRecord {
        &self.own_record
    }

    /// Summary for operators.
    pub fn status(&self) -> MembershipStatus {
        let mut status = MembershipStatus {
            joined: self.joined,
            incarnation: self.own_record.incarnation,
            groups: self.groups.len(),
            alive: 0,
            suspect: 0,
            dead: 0,
            left: 0,
            seeds: self.seeds.len(),
            counters: self.counters.clone(),
        };
        for record in self.groups.values().flat_map(GroupView::records) {
            status.count(record.state);
        }
        status
    }

    /// The group that this node is of, if its upstream has announced itself.
    fn own_group(&self) -> Option<&GroupView> {
        self.groups.get(self.own_record.service.as_ref()?)
    }

    /// Whether this node is a present member of `service`.
    fn is_member_of(&self, service: &ServiceName) -> bool {
        self.own_record.state.is_live() && self.own_record.service.as_ref() == Some(service)
    }

    /// Whether this node probes its group.
    fn is_member(&self) -> bool {
        self.own_record.state.is_live() && self.own_record.service.is_some()
    }

    fn prune(&mut self, now: MonotonicTime) {
        if now < self.prune_due {
            return;
        }
        self.prune_due = now + PRUNE_INTERVAL;
        for group in self.groups.values_mut() {
            group.prune(now, self.settings.max_tombstones);
        }
        self.seeds.prune(now);
    }
}
