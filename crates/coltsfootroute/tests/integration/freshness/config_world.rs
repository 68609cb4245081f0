//! Simulation of nodes that follow a store's configuration and inform each other, an operator who changes it, and
//! faults.
//!
//! The decisions are made by the library. The simulation models long polls to the store, each on its own connection;
//! connections that fail silently and are closed by keep-alives; a store that accepts polls and never answers them; and
//! pulls from peers that may be dead.

use std::{mem, time::Duration};

use coltsfootroute::{
    freshness::{FeedMonitor, FeedTimeout, RevisionProof, StoreTime},
    id::NodeId,
    membership::GossipEffect,
    revision::{PullPlan, Revision},
    time::MonotonicTime,
};
use indexmap::IndexMap;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::membership::network::{GossipNetwork, ProcessState, node_id};

/// Step of the simulated clock.
const STEP: Duration = Duration::from_millis(20);
/// Time within which an accepted change has to be in force, as the users require.
pub const APPLY_TIME: Duration = Duration::from_millis(2_000);
/// Time after a fault for which its node is exempt from the check; after a fault of the store all nodes are.
const EXEMPT_TIME: Duration = Duration::from_millis(3_000);
/// Pause between two polls, and after a failure.
const FEED_PAUSE: Duration = Duration::from_millis(400);
/// Time allowed for an answer beyond the timeout of its poll, and longest time of a pull.
const ANSWER_TIME: Duration = Duration::from_secs(1);
/// Longest time until keep-alives close a connection that has failed silently.
const KEEPALIVE_TIME: Duration = Duration::from_secs(2);
/// Reading of the store's clock at the start of the simulation, in milliseconds.
const STORE_CLOCK_MS: u64 = 5_000_000;
const SERVICES: [&str; 2] = ["logbook", "renewals"];

/// A long poll that is pending at the store.
struct PendingPoll {
    asked: MonotonicTime,
    ends: MonotonicTime,
    /// Time at which the connection is closed, if it has failed silently.
    broken: Option<MonotonicTime>,
    /// Whether the store has accepted the poll and will never answer it.
    is_dropped: bool,
    watch: FeedMonitor,
}

struct ConfigNode {
    held: Revision,
    /// Newest revision that the store has reported.
    heard: Revision,
    feed: Option<PendingPoll>,
    feed_due: MonotonicTime,
    hold: FeedTimeout,
    plan: PullPlan,
    /// Pulls from peers that don't answer, with the time at which they end.
    pulls: Vec<(NodeId, MonotonicTime)>,
    fault_at: Option<MonotonicTime>,
}

pub struct ConfigWorld {
    net: GossipNetwork,
    nodes: IndexMap<NodeId, ConfigNode>,
    rng: Pcg64,
    /// Accepted revisions, newest first.
    accepted: Vec<(Revision, MonotonicTime)>,
    /// Time until which the store accepts polls without ever answering them.
    silent_until: MonotonicTime,
    store_fault_at: Option<MonotonicTime>,
    /// Number of polls sent to the store.
    pub polls: u64,
    pub breaches: Vec<String>,
}

impl ConfigWorld {
    /// Creates a simulation of `nodes` nodes, which know each other and the first configuration.
    pub fn new(seed: u64, nodes: u8) -> Self {
        let mut net = GossipNetwork::new(seed);
        let ids: Vec<_> = (1..=nodes).map(node_id).collect();
        for (index, id) in ids.iter().enumerate() {
            net.start(*id, ids.clone());
            net.announce(*id, SERVICES[index % SERVICES.len()]);
            net.watch(*id, &SERVICES);
        }
        let rng = Pcg64::seed_from_u64(seed);
        let now = net.now;
        let nodes = ids.iter().map(|id| (*id, ConfigNode::new(now))).collect();
        let accepted = vec![(Revision(1), now)];
        let mut world = Self {
            net,
            nodes,
            rng,
            accepted,
            silent_until: MonotonicTime::ZERO,
            store_fault_at: None,
            polls: 0,
            breaches: Vec::new(),
        };
        world.run(Duration::from_secs(5));
        world
    }

    pub fn now(&self) -> MonotonicTime {
        self.net.now
    }

    pub fn ids(&self) -> Vec<NodeId> {
        self.nodes.keys().copied().collect()
    }

    /// Changes the configuration: the store accepts a new revision.
    pub fn change(&mut self) {
        let revision = Revision(self.accepted[0].0.0 + 1);
        self.accepted.insert(0, (revision, self.net.now));
    }

    /// Lets the open connections of a node to the store fail silently, without a reset.
    pub fn silence_connections(&mut self, id: NodeId) {
        let broken = self.net.now + KEEPALIVE_TIME;
        let node = &mut self.nodes[&id];
        node.fault_at = Some(self.net.now);
        if let Some(feed) = &mut node.feed {
            feed.broken.get_or_insert(broken);
        }
    }

    /// Lets the store accept polls without ever answering them, including those already pending.
    pub fn silence_store(&mut self, lasts: Duration) {
        self.silent_until = self.net.now + lasts;
        self.store_fault_at = Some(self.silent_until);
        for node in self.nodes.values_mut() {
            if let Some(feed) = &mut node.feed {
                feed.is_dropped = true;
            }
        }
    }

    /// Lets the store drop a node's pending poll, which it will never answer.
    pub fn drop_poll(&mut self, id: NodeId) {
        if let Some(feed) = &mut self.nodes[&id].feed {
            feed.is_dropped = true;
        }
    }

    /// Partitions a node from the others; it still reaches the store.
    pub fn cut(&mut self, id: NodeId) {
        self.net.set_side(id, 1);
    }

    /// Kills a node without notice to the others.
    pub fn kill(&mut self, id: NodeId) {
        self.net.kill(id);
        self.nodes[&id].fault_at = Some(self.net.now);
    }

    /// Restarts a node without any state.
    pub fn restart(&mut self, id: NodeId) {
        self.net.restart(id);
        let service = SERVICES[self.nodes.get_index_of(&id).unwrap_or_default() % SERVICES.len()];
        self.net.announce(id, service);
        self.net.watch(id, &SERVICES);
        let mut node = ConfigNode::new(self.net.now);
        node.fault_at = Some(self.net.now);
        self.nodes.insert(id, node);
    }

    /// Returns a node on the newest revision; the first node if there is none.
    pub fn first_to_know(&self) -> NodeId {
        let newest = self.accepted[0].0;
        let mut up = self.nodes.iter().filter(|(id, _)| self.is_up(**id));
        up.find(|(_, node)| node.held == newest).map_or(self.ids()[0], |(id, _)| *id)
    }

    /// Runs the simulation for `time` and checks at each step that each node without faults is on the revision that is
    /// due.
    pub fn run(&mut self, time: Duration) {
        let end = self.net.now + time;
        while self.net.now < end {
            self.net.run(STEP);
            for id in self.ids() {
                if self.is_up(id) {
                    self.step(id);
                }
            }
            self.check();
        }
    }

    fn is_up(&self, id: NodeId) -> bool {
        self.net.nodes[&id].process == ProcessState::Up
    }

    fn step(&mut self, id: NodeId) {
        self.receive_peer_revisions(id);
        self.follow(id);
        self.pull(id);
    }

    fn receive_peer_revisions(&mut self, id: NodeId) {
        for event in mem::take(&mut self.net.nodes[&id].events) {
            if let GossipEffect::RevisionBehind { peer, revision } = event {
                self.nodes[&id].plan.record_revision(peer, Revision(revision));
            }
        }
    }

    fn follow(&mut self, id: NodeId) {
        let (now, newest, is_silent) = (self.net.now, self.accepted[0].0, self.is_silent());
        let nodes = self.net.nodes[&id].engine.status().alive;
        let node = &mut self.nodes[&id];
        let Some(feed) = &mut node.feed else {
            if now >= node.feed_due {
                let ends = now + node.hold.draw(nodes, &mut self.rng);
                let watch = FeedMonitor::new(node.heard);
                let (asked, broken, is_dropped) = (now, None, is_silent);
                node.feed = Some(PendingPoll { asked, ends, broken, is_dropped, watch });
                self.polls += 1;
            }
            return;
        };
        let is_stale = feed.is_dropped || feed.broken.is_some();
        let asked = feed.asked;
        let is_answered = !is_stale && (newest > node.heard || now >= feed.ends);
        let is_failed = feed.broken.is_some_and(|broken| now >= broken)
            || now >= feed.ends + ANSWER_TIME
            || feed.watch.is_stale(now, node.held);
        if is_answered || is_failed {
            node.feed = None;
            node.feed_due = now + FEED_PAUSE;
            node.hold.record_end(is_failed || newest > node.heard);
        }
        if is_answered {
            // The proof counts from the time of the request, but the store reads its clock at the answer.
            self.receive_store_answer(id, asked);
        }
    }

    fn receive_store_answer(&mut self, id: NodeId, asked: MonotonicTime) {
        let (revision, at) =
            (self.accepted[0].0, StoreTime(STORE_CLOCK_MS + self.net.now.0 / 1_000));
        self.nodes[&id].heard = revision;
        self.net.nodes[&id].freshness.record_store_proof(asked, RevisionProof { revision, at });
        self.hold(id, revision);
    }

    fn pull(&mut self, id: NodeId) {
        let now = self.net.now;
        let ended: Vec<_> =
            self.nodes[&id].pulls.extract_if(.., |(_, ends)| *ends <= now).collect();
        for (peer, _) in ended {
            self.nodes[&id].plan.record_completion(peer);
        }
        let held = self.nodes[&id].held;
        while let Some(peer) = self.nodes[&id].plan.next_peer(now, held) {
            if self.is_up(peer) {
                self.nodes[&id].plan.record_completion(peer);
                self.hold(id, self.nodes[&peer].held);
            } else {
                self.nodes[&id].pulls.push((peer, now + ANSWER_TIME));
            }
        }
    }

    fn hold(&mut self, id: NodeId, revision: Revision) {
        let node = &mut self.nodes[&id];
        node.held = node.held.max(revision);
        let state = &mut self.net.nodes[&id];
        state.engine.set_revision(node.held.0);
        state.freshness.set_revision(node.held);
    }

    fn is_silent(&self) -> bool {
        self.net.now < self.silent_until
    }

    fn check(&mut self) {
        let now = self.net.now;
        let is_exempt = |fault_at: Option<MonotonicTime>| {
            fault_at.is_some_and(|fault_at| now < fault_at + EXEMPT_TIME)
        };
        if is_exempt(self.store_fault_at) {
            return;
        }
        let due = self.accepted.iter().find(|(_, at)| *at + APPLY_TIME <= now);
        let Some((due, _)) = due.copied() else { return };
        for (id, node) in &self.nodes {
            if self.is_up(*id) && !is_exempt(node.fault_at) && node.held < due {
                self.breaches.push(format!("{now:?}: {id} holds {:?}, not {due:?}", node.held));
            }
        }
    }
}

impl ConfigNode {
    fn new(now: MonotonicTime) -> Self {
        Self {
            held: Revision::ZERO,
            heard: Revision::ZERO,
            feed: None,
            feed_due: now,
            hold: FeedTimeout::new(),
            plan: PullPlan::new(),
            pulls: Vec::new(),
            fault_at: None,
        }
    }
}
