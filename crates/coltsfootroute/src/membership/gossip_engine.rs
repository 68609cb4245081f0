//! Gossip engine: failure detection and member lists of one node.

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

/// Interval between two prunings of tombstones and seeds.
const PRUNE_INTERVAL: std::time::Duration = std::time::Duration::from_secs(1);

/// Failure detector and member lists of one node.
///
/// Call [`tick`](Self::tick) about ten times a second and [`receive`](Self::receive) for each datagram;
/// carry out the effects of every call. The cost of a tick does not depend on the number of nodes, except
/// that once per round of probes it grows with the size of the own group.
#[derive(Clone, Debug)]
pub struct GossipEngine {
    settings: GossipSettings,
    /// Record of this node. Invariant: its incarnation never decreases.
    own_record: MemberRecord,
    /// The own group and the watched ones. Invariant: the own group holds `own_record`.
    groups: IndexMap<ServiceName, GroupView>,
    /// Pull state of each group.
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
    /// Suspected members of the own group, each with the suspected incarnation and the time at which it is declared
    /// dead.
    suspicions: IndexMap<NodeId, (Incarnation, MonotonicTime)>,
    /// Failed probes less answered ones, up to a bound. It prolongs suspicions, because a node whose probes all fail is
    /// more likely to be faulty itself than the members that it probes.
    health_score: u32,
    leave_repeats: u32,
    leave_due: MonotonicTime,
    budget: BandwidthBudget,
    counters: GossipCounters,
    outbox: VecDeque<(NodeId, GossipMessage)>,
    revision: u64,
    /// Peer last reported to have a higher revision, with that revision and the time of the report.
    last_ahead_report: Option<(NodeId, u64, MonotonicTime)>,
    /// Digest of the requests that this node holds back.
    quarantine: u64,
    /// Earliest time of the next report of a peer with another digest.
    quarantine_due: MonotonicTime,
    joined: bool,
    last_tick: MonotonicTime,
    effects: Vec<GossipEffect>,
}

impl GossipEngine {
    /// Creates an engine that knows the peers of `settings`. `own_record` gives the node, its incarnation and its
    /// location; an upstream that it names is ignored, see [`announce`](Self::announce).
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

    /// Runs the timers that are due.
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

    /// Handles a datagram from the address `from`.
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

    /// Sets the revision of the configuration in force, which every message carries, unless the known one is higher.
    pub fn set_revision(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Sets the digest of the requests that this node holds back, which every message carries.
    pub fn set_quarantine(&mut self, digest: u64) {
        self.quarantine = digest;
    }

    /// Returns the live members (alive or suspected) of a watched service or of the own one.
    pub fn members(&self, service: &str) -> impl Iterator<Item = &MemberRecord> {
        self.groups.get(service).into_iter().flat_map(GroupView::live)
    }

    /// Returns the record of one member, or `None` if the group or the member is unknown. Includes hidden, dead and
    /// departed members.
    pub fn record(&self, service: &str, node: NodeId) -> Option<&MemberRecord> {
        self.groups.get(service)?.get(node)
    }

    /// Returns all records of a service except those of hidden members; includes departed and dead members.
    pub fn records(&self, service: &str) -> impl Iterator<Item = &MemberRecord> {
        self.groups.get(service).into_iter().flat_map(GroupView::records)
    }

    /// Returns a number that rises whenever the records of the service change, or 0 while the node does not hold them.
    pub fn version(&self, service: &str) -> u64 {
        self.groups.get(service).map_or(0, GroupView::version)
    }

    /// Returns the record of this node.
    pub fn own_record(&self) -> &MemberRecord {
        &self.own_record
    }

    /// Returns a summary for operators.
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

    /// Returns the group of this node's upstream, or `None` before the upstream has announced itself.
    fn own_group(&self) -> Option<&GroupView> {
        self.groups.get(self.own_record.service.as_ref()?)
    }

    /// Whether this node is a live member of `service`.
    fn is_member_of(&self, service: &ServiceName) -> bool {
        self.own_record.state.is_live() && self.own_record.service.as_ref() == Some(service)
    }

    /// Whether this node is a live member of any group, and so probes that group.
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
