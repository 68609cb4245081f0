//! Simulated network of gossip engines with a manual clock; simulates delay, reordering, loss, duplication and
//! partitions.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use coltsfootroute::{
    freshness::{ConfigFreshness, RevisionProof},
    id::{Incarnation, NodeId},
    membership::{
        GossipEffect, GossipEngine, GossipMessage, GossipSettings, MemberRecord, UpstreamOffer,
    },
    name::{DomainName, RegionName, ServiceName},
    revision::Revision,
    time::MonotonicTime,
};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const TICK: Duration = Duration::from_millis(100);
const PORT: u16 = 7_000;
/// Maximum number of datagrams that a paused process finds in its socket when it resumes.
const SOCKET_BUFFER: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    Up,
    Paused,
    Killed,
}

#[derive(Clone, Debug)]
pub struct SimNode {
    pub engine: GossipEngine,
    pub process: ProcessState,
    pub events: Vec<GossipEffect>,
    /// Proof of the configuration in force; sent with each message.
    pub freshness: ConfigFreshness,
    /// Number of times that the process was started.
    pub start_count: u64,
    started: MonotonicTime,
    inbox: VecDeque<(NodeId, GossipMessage)>,
    peers: Vec<NodeId>,
    side: u32,
    next_tick: MonotonicTime,
}

#[derive(Debug)]
pub struct GossipNetwork {
    pub now: MonotonicTime,
    pub nodes: IndexMap<NodeId, SimNode>,
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    pub max_delay: Duration,
    pub settings: GossipSettings,
    rng: Pcg64,
    sent: u64,
    in_flight: BinaryHeap<Reverse<(MonotonicTime, u64, NodeId, NodeId)>>,
    messages: IndexMap<u64, GossipMessage>,
}

pub fn node_id(number: u8) -> NodeId {
    NodeId(SocketAddr::from((Ipv4Addr::new(10, 0, 0, number), PORT)))
}

pub fn offer(service: &str) -> UpstreamOffer {
    UpstreamOffer { service: ServiceName::new(service), slots: 120, connections: 800 }
}

impl GossipNetwork {
    pub fn new(seed: u64) -> Self {
        Self {
            now: MonotonicTime::from_millis(1_000),
            nodes: IndexMap::new(),
            loss_percent: 0,
            duplicate_percent: 0,
            max_delay: Duration::from_millis(5),
            settings: GossipSettings::new(),
            rng: Pcg64::seed_from_u64(seed),
            sent: 0,
            in_flight: BinaryHeap::new(),
            messages: IndexMap::new(),
        }
    }

    /// Starts or restarts a node, without an upstream.
    pub fn start(&mut self, node: NodeId, peers: Vec<NodeId>) {
        let incarnation = Incarnation(1_000_000 + self.now.0 / 1_000);
        let domain = DomainName::new("dar-a");
        let record = MemberRecord::new(node, incarnation, domain, RegionName::new("dar"));
        let settings = self.settings.clone().with_peers(peers.iter().copied());
        let before = self.nodes.get(&node);
        let state = SimNode {
            engine: GossipEngine::new(settings, record, self.now),
            process: ProcessState::Up,
            events: Vec::new(),
            freshness: ConfigFreshness::default(),
            start_count: before.map_or(0, |before| before.start_count) + 1,
            started: self.now,
            inbox: VecDeque::new(),
            peers,
            side: before.map_or(0, |before| before.side),
            next_tick: self.now + Duration::from_millis(self.rng.random_range(0..100)),
        };
        self.nodes.insert(node, state);
    }

    pub fn restart(&mut self, node: NodeId) {
        let peers = self.nodes[&node].peers.clone();
        self.start(node, peers);
    }

    pub fn announce(&mut self, node: NodeId, service: &str) {
        let state = &mut self.nodes[&node];
        let effects = state.engine.announce(self.now, &mut self.rng, offer(service));
        self.carry_out(node, effects);
    }

    pub fn leave(&mut self, node: NodeId) {
        let effects = self.nodes[&node].engine.leave(self.now, &mut self.rng);
        self.carry_out(node, effects);
    }

    pub fn ask(&mut self, node: NodeId, others: &[NodeId]) {
        let others = others.iter().copied();
        let effects = self.nodes[&node].engine.ping_nodes(self.now, &mut self.rng, others);
        self.carry_out(node, effects);
    }

    pub fn watch(&mut self, node: NodeId, services: &[&str]) {
        let services = services.iter().map(|service| ServiceName::new(service));
        self.nodes[&node].engine.watch(self.now, &mut self.rng, services);
    }

    pub fn kill(&mut self, node: NodeId) {
        self.nodes[&node].process = ProcessState::Killed;
        self.nodes[&node].inbox.clear();
    }

    pub fn pause(&mut self, node: NodeId) {
        self.nodes[&node].process = ProcessState::Paused;
    }

    /// Resumes a paused process. It handles the datagrams in its socket before its first tick, which is the worse
    /// order.
    pub fn resume(&mut self, node: NodeId) {
        self.nodes[&node].process = ProcessState::Up;
        let inbox = std::mem::take(&mut self.nodes[&node].inbox);
        for (from, message) in inbox {
            self.deliver(from, node, message);
        }
    }

    /// Puts a node on one side of a partition; nodes on different sides can't reach each other.
    pub fn set_side(&mut self, node: NodeId, side: u32) {
        self.nodes[&node].side = side;
    }

    pub fn heal(&mut self) {
        for state in self.nodes.values_mut() {
            state.side = 0;
        }
    }

    /// Advances the clock by `duration`, with all deliveries and ticks that are due.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        loop {
            let delivery = self.in_flight.peek().map(|Reverse((at, ..))| *at);
            let tick = self.up_nodes().map(|(node, state)| (state.next_tick, node)).min();
            let next = delivery.into_iter().chain(tick.map(|(at, _)| at)).min();
            let Some(next) = next.filter(|next| *next <= end) else { break };
            self.now = self.now.max(next);
            if delivery == Some(next) {
                self.deliver_next();
            } else if let Some((_, node)) = tick {
                self.tick(node);
            }
        }
        self.now = end;
    }

    pub fn up_nodes(&self) -> impl Iterator<Item = (NodeId, &SimNode)> {
        self.nodes
            .iter()
            .filter(|(_, state)| state.process == ProcessState::Up)
            .map(|(node, state)| (*node, state))
    }

    /// Returns the number of bytes that a node was allowed to send since its last start.
    pub fn allowed_bytes(&self, node: NodeId) -> u64 {
        let millis = self.now.since(self.nodes[&node].started).as_millis() as u64;
        let burst = self.settings.burst_bytes.max(self.settings.start_bytes);
        burst + self.settings.bytes_per_second * millis / 1_000
    }

    fn tick(&mut self, node: NodeId) {
        let state = &mut self.nodes[&node];
        // A process that was paused does not catch up on missed ticks.
        state.next_tick = self.now + TICK;
        let effects = state.engine.tick(self.now, &mut self.rng);
        self.carry_out(node, effects);
    }

    fn deliver_next(&mut self) {
        let Some(Reverse((_, number, from, to))) = self.in_flight.pop() else { return };
        let Some(message) = self.messages.swap_remove(&number) else { return };
        let (Some(sender), Some(receiver)) = (self.nodes.get(&from), self.nodes.get(&to)) else {
            return;
        };
        if sender.side != receiver.side {
            return;
        }
        self.deliver(from, to, message);
    }

    fn deliver(&mut self, from: NodeId, to: NodeId, message: GossipMessage) {
        let state = &mut self.nodes[&to];
        match state.process {
            ProcessState::Up => {
                if let Some(at) = message.confirmed {
                    let revision = Revision(message.revision);
                    state.freshness.record_proof(RevisionProof { revision, at });
                }
                let effects = state.engine.receive(self.now, &mut self.rng, from, message);
                self.carry_out(to, effects);
            }
            ProcessState::Paused if state.inbox.len() < SOCKET_BUFFER => {
                state.inbox.push_back((from, message));
            }
            ProcessState::Paused | ProcessState::Killed => {}
        }
    }

    fn carry_out(&mut self, node: NodeId, effects: Vec<GossipEffect>) {
        for effect in effects {
            match effect {
                GossipEffect::Send { to, message } => self.send(node, to, message),
                event => self.nodes[&node].events.push(event),
            }
        }
    }

    fn send(&mut self, from: NodeId, to: NodeId, message: GossipMessage) {
        let confirmed = self.nodes[&from].freshness.proof_time_for(Revision(message.revision));
        let message = GossipMessage { confirmed, ..message };
        assert!(message.wire_bytes() <= 1_200, "{message:?}");
        if self.rng.random_range(0..100) < self.loss_percent {
            return;
        }
        let twice = self.rng.random_range(0..100) < self.duplicate_percent;
        for _ in 0..1 + u32::from(twice) {
            let delay = self.rng.random_range(Duration::from_micros(500)..self.max_delay);
            self.sent += 1;
            self.messages.insert(self.sent, message.clone());
            self.in_flight.push(Reverse((self.now + delay, self.sent, from, to)));
        }
    }
}
