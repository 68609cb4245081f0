//! A driven world: nodes that follow a store's configuration and tell each other, an operator who changes it, and harm.
//!
//! The decisions are the library's. What is modelled: a question to the store that stays open until there is a change, each
//! on a connection of its own; connections that go silent for good and are given up by
//! keep-alives; a store that takes polls and never answers them; pulls from peers that may be dead.

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

/// Step of the clock.
const STEP: Duration = Duration::from_millis(20);
/// Time in which an accepted change is in force, as the users state it.
pub const APPLY_TIME: Duration = Duration::from_millis(2_000);
/// A node that was fault_at so long ago or less is excused, and all are so long after the store was.
const EXEMPT_TIME: Duration = Duration::from_millis(3_000);
/// Pause between two open polls, and after a failure.
const FEED_PAUSE: Duration = Duration::from_millis(400);
/// Time for an answer beyond what it is held, and longest time of a pull.
const ANSWER_TIME: Duration = Duration::from_secs(1);
/// A silent connection is given up by its keep-alives after this at most.
const KEEPALIVE_TIME: Duration = Duration::from_secs(2);
/// What the store's clock shows when the world's begins.
const STORE_CLOCK_MS: u64 = 5_000_000;
const SERVICES: [&str; 2] = ["logbook", "renewals"];

/// A question that the store holds until there is a change.
struct PendingPoll {
    asked: MonotonicTime,
    ends: MonotonicTime,
    /// When its connection is given up, if that is silent.
    broken: Option<MonotonicTime>,
    /// The store has taken it and will not answer.
    is_dropped: bool,
    watch: FeedMonitor,
}

struct ConfigNode {
    held: Revision,
    /// Newest revision that the store has told of.
    heard: Revision,
    feed: Option<PendingPoll>,
    feed_due: MonotonicTime,
    hold: FeedTimeout,
    plan: PullPlan,
    /// Pulls from peers that don't answer, and when they end.
    pulls: Vec<(NodeId, MonotonicTime)>,
    fault_at: Option<MonotonicTime>,
}

pub struct ConfigWorld {
    net: GossipNetwork,
    nodes: IndexMap<NodeId, ConfigNode>,
    rng: Pcg64,
    /// Newest accepted revision first.
    accepted: Vec<(Revision, MonotonicTime)>,
    /// The store takes polls and never answers them until then.
    silent_until: MonotonicTime,
    store_fault_at: Option<MonotonicTime>,
    /// Questions to the store.
    pub polls: u64,
    pub breaches: Vec<String>,
}

impl ConfigWorld {
    /// So many nodes, which know each other and the first configuration.
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

    /// The operator changes the configuration, and the store has accepted it.
    pub fn change(&mut self) {
        let revision = Revision(self.accepted[0].0.0 + 1);
        self.accepted.insert(0, (revision, self.net.now));
    }

    /// Open connections of a node to the store go silent for good, without a reset.
    pub fn silence_connections(&mut self, id: NodeId) {
        let broken = self.net.now + KEEPALIVE_TIME;
        let node = &mut self.nodes[&id];
        node.fault_at = Some(self.net.now);
        if let Some(feed) = &mut node.feed {
            feed.broken.get_or_insert(broken);
        }
    }

    /// The store takes polls and never answers them; those that are open already stay so too.
    pub fn silence_store(&mut self, lasts: Duration) {
        self.silent_until = self.net.now + lasts;
        self.store_fault_at = Some(self.silent_until);
        for node in self.nodes.values_mut() {
            if let Some(feed) = &mut node.feed {
                feed.is_dropped = true;
            }
        }
    }

    /// The store has taken a node's open question and will never answer it.
    pub fn drop_poll(&mut self, id: NodeId) {
        if let Some(feed) = &mut self.nodes[&id].feed {
            feed.is_dropped = true;
        }
    }

    /// A node no longer reaches the others, nor they it; it reaches the store.
    pub fn cut(&mut self, id: NodeId) {
        self.net.set_side(id, 1);
    }

    /// A node loses power without a word.
    pub fn kill(&mut self, id: NodeId) {
        self.net.kill(id);
        self.nodes[&id].fault_at = Some(self.net.now);
    }

    /// It starts again and knows nothing.
    pub fn restart(&mut self, id: NodeId) {
        self.net.restart(id);
        let service = SERVICES[self.nodes.get_index_of(&id).unwrap_or_default() % SERVICES.len()];
        self.net.announce(id, service);
        self.net.watch(id, &SERVICES);
        let mut node = ConfigNode::new(self.net.now);
        node.fault_at = Some(self.net.now);
        self.nodes.insert(id, node);
    }

    /// A node that has the newest revision by now; any if none has.
    pub fn first_to_know(&self) -> NodeId {
        let newest = self.accepted[0].0;
        let mut up = self.nodes.iter().filter(|(id, _)| self.is_up(**id));
        up.find(|(_, node)| node.held == newest).map_or(self.ids()[0], |(id, _)| *id)
    }

    /// Lets `time` pass, and looks at each step whether each node that nothing harms has what was accepted.
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
            // What the answer proves counts from the question, but its clock is read at the answer.
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
