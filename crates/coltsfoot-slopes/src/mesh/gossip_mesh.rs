//! The mesh.

use std::{net::Ipv4Addr, time::Duration};

use coltsfoot_wire::gossip::{decode, encode};
use coltsfootroute::{
    id::{Incarnation, NodeId},
    membership::{
        DATAGRAM_OVERHEAD_BYTES, GossipEffect, GossipEngine, GossipMessage, GossipPayload,
        GossipSettings, MemberRecord, MemberUpdate, UpstreamOffer,
    },
    name::{DomainName, RegionName, ServiceName},
    time::MonotonicTime,
};
use indexmap::IndexSet;
use rand::{RngExt, SeedableRng, seq::IteratorRandom};
use rand_pcg::Pcg64;

use super::MeshTraffic;

/// Time from a send to its arrival, and between two rounds of work.
pub const STEP: Duration = Duration::from_millis(10);
/// Each node ticks once in so many steps, as often as the node process does.
const STEPS_PER_TICK: usize = 5;
const PORT: u16 = 7_000;
/// Addresses of the settings: members of the own group, and of any.
const OWN_PEERS: usize = 3;
const OTHER_PEERS: usize = 2;
const RECORDS_PER_DATAGRAM: usize = 8;
const SLOTS: u32 = 120;
const CONNECTIONS: u32 = 800;
const DOMAINS: usize = 23;
const REGIONS: usize = 6;

/// A datagram under way.
struct Datagram {
    from: NodeId,
    to: usize,
    bytes: Vec<u8>,
}

struct MeshNode {
    engine: GossipEngine,
    is_up: bool,
    group: usize,
    watched: Vec<ServiceName>,
    /// Revision in force.
    revision: u64,
    lives: u64,
}

/// Nodes in groups of any size; each node watches some services.
///
/// A node that hears of a higher revision has it in force at the next step, as if it had pulled it.
pub struct GossipMesh {
    now: MonotonicTime,
    rng: Pcg64,
    settings: GossipSettings,
    nodes: Vec<MeshNode>,
    members: Vec<Vec<usize>>,
    under_way: Vec<Datagram>,
    behind: Vec<(usize, u64)>,
    traffic: MeshTraffic,
    steps: usize,
}

impl GossipMesh {
    /// A mesh without nodes.
    pub fn new(settings: GossipSettings, seed: u64) -> Self {
        Self {
            now: MonotonicTime::from_millis(1_000),
            rng: Pcg64::seed_from_u64(seed),
            settings,
            nodes: Vec::new(),
            members: Vec::new(),
            under_way: Vec::new(),
            behind: Vec::new(),
            traffic: MeshTraffic::default(),
            steps: 0,
        }
    }

    /// `groups` groups of `size` members; each member watches `watched` other services.
    pub fn with_groups(mut self, groups: usize, size: usize, watched: usize) -> Self {
        for group in 0..groups {
            self.members.push((self.nodes.len()..self.nodes.len() + size).collect());
            for _ in 0..size {
                let watched = self.draw_services(groups, group, watched);
                self.add(group, watched);
            }
        }
        self.start_all();
        self
    }

    /// One group of `size` members, and `watchers` nodes in groups of `watcher_group` that watch it.
    pub fn with_watchers(mut self, size: usize, watchers: usize, watcher_group: usize) -> Self {
        self.members = vec![(0..size).collect()];
        for _ in 0..size {
            self.add(0, Vec::new());
        }
        for watcher in 0..watchers {
            let group = 1 + watcher / watcher_group.max(1);
            if group == self.members.len() {
                self.members.push(Vec::new());
            }
            self.members[group].push(self.nodes.len());
            self.add(group, vec![service_name(0)]);
        }
        self.start_all();
        self
    }

    fn draw_services(&mut self, groups: usize, own: usize, count: usize) -> Vec<ServiceName> {
        let others = (0..groups).filter(|group| *group != own);
        others.sample(&mut self.rng, count).into_iter().map(service_name).collect()
    }

    fn add(&mut self, group: usize, watched: Vec<ServiceName>) {
        let index = self.nodes.len();
        let engine = GossipEngine::new(self.settings.clone(), record(index, 1), self.now);
        self.nodes.push(MeshNode { engine, is_up: true, group, watched, revision: 0, lives: 1 });
    }

    fn start_all(&mut self) {
        for index in 0..self.nodes.len() {
            self.begin_life(index);
        }
    }

    /// Starts a node anew: it knows the peers of its settings, then its upstream announces itself.
    fn begin_life(&mut self, index: usize) {
        let (group, lives) = (self.nodes[index].group, self.nodes[index].lives);
        let own = self.members[group].iter().copied().sample(&mut self.rng, OWN_PEERS);
        let others = (0..self.nodes.len()).sample(&mut self.rng, OTHER_PEERS);
        let peers = own.into_iter().chain(others).map(node_id);
        let settings = self.settings.clone().with_peers(peers);
        let mut engine = GossipEngine::new(settings, record(index, lives), self.now);
        engine.set_revision(self.nodes[index].revision);
        engine.watch(self.now, &mut self.rng, self.nodes[index].watched.iter().cloned());
        let service = service_name(group);
        let offer = UpstreamOffer { service, slots: SLOTS, connections: CONNECTIONS };
        let effects = engine.announce(self.now, &mut self.rng, offer);
        self.nodes[index].engine = engine;
        self.nodes[index].is_up = true;
        self.carry_out(index, effects);
    }

    /// Tells every node of all members of its own and its watched groups, as if it had run for long.
    pub fn acquaint(&mut self) {
        for index in 0..self.nodes.len() {
            let own = service_name(self.nodes[index].group);
            let services: Vec<_> = self.nodes[index].watched.iter().cloned().chain([own]).collect();
            for service in services {
                self.tell_members(index, &service);
            }
        }
    }

    fn tell_members(&mut self, index: usize, service: &ServiceName) {
        let members = self.members[group_of(service)].clone();
        for part in members.chunks(RECORDS_PER_DATAGRAM) {
            let records = part.iter().map(|member| self.nodes[*member].engine.own_record().clone());
            let service = service.clone();
            let payload = GossipPayload::Records { service, bucket_count: 1, complete: Vec::new() };
            let mut message = GossipMessage::new(0, payload);
            message.updates = records.map(MemberUpdate::new).collect();
            let Ok(bytes) = encode(&message) else { continue };
            // Only members speak for a group.
            let Some(from) = members.iter().find(|member| **member != index) else { continue };
            self.arrive(&Datagram { from: node_id(*from), to: index, bytes });
        }
    }

    /// Number of nodes.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether there are no nodes.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Now, on the driven clock.
    pub fn now(&self) -> MonotonicTime {
        self.now
    }

    /// What all nodes have sent.
    pub fn traffic(&self) -> MeshTraffic {
        self.traffic
    }

    /// The engine of a node.
    pub fn engine(&self, index: usize) -> &GossipEngine {
        &self.nodes[index].engine
    }

    /// Lets all nodes do what is due until `duration` has passed.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// One step of the clock: arrivals first, then the ticks that are due.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        for (index, revision) in std::mem::take(&mut self.behind) {
            self.put_in_force(index, revision);
        }
        for datagram in std::mem::take(&mut self.under_way) {
            self.arrive(&datagram);
        }
        let first = self.steps % STEPS_PER_TICK;
        for index in (first..self.nodes.len()).step_by(STEPS_PER_TICK) {
            if self.nodes[index].is_up {
                let node = &mut self.nodes[index];
                let effects = node.engine.tick(self.now, &mut self.rng);
                self.carry_out(index, effects);
            }
        }
        self.steps += 1;
    }

    /// Marks all watched services as in use, as calls do.
    pub fn touch_all(&mut self) {
        for node in self.nodes.iter_mut().filter(|node| node.is_up) {
            for service in &node.watched {
                node.engine.note_use(self.now, service.as_str());
            }
        }
    }

    /// The upstream beside the node leaves.
    pub fn leave(&mut self, index: usize) {
        let effects = self.nodes[index].engine.leave(self.now, &mut self.rng);
        self.carry_out(index, effects);
    }

    /// The node ends without a word.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].is_up = false;
    }

    /// A new life of the node at its address.
    pub fn restart(&mut self, index: usize) {
        self.nodes[index].lives += 1;
        self.begin_life(index);
    }

    /// A random node of all.
    pub fn random_node(&mut self) -> usize {
        self.rng.random_range(0..self.nodes.len())
    }

    /// Puts a revision in force at one node.
    pub fn put_in_force(&mut self, index: usize, revision: u64) {
        let node = &mut self.nodes[index];
        node.revision = node.revision.max(revision);
        node.engine.set_revision(node.revision);
    }

    /// Nodes that have `revision` in force.
    pub fn in_force(&self, revision: u64) -> usize {
        self.nodes.iter().filter(|node| node.revision >= revision).count()
    }

    /// Whether every node that is up knows its own and its watched groups whole.
    pub fn is_converged(&self) -> bool {
        self.nodes.iter().filter(|node| node.is_up).all(|node| {
            let own = service_name(node.group);
            node.watched.iter().chain([&own]).all(|service| {
                let size = self.members[group_of(service)].len();
                node.engine.members(service.as_str()).count() == size
            })
        })
    }

    /// Nodes that take `index` for a present member of its group.
    pub fn believers(&self, index: usize) -> usize {
        let service = service_name(self.nodes[index].group);
        let lost = node_id(index);
        let believes = |node: &&MeshNode| {
            node.engine.members(service.as_str()).any(|record| record.node == lost)
        };
        let others = self.nodes.iter().enumerate().filter(|(other, _)| *other != index);
        others.map(|(_, node)| node).filter(|node| node.is_up).filter(believes).count()
    }

    fn arrive(&mut self, datagram: &Datagram) {
        let node = &mut self.nodes[datagram.to];
        if !node.is_up {
            return;
        }
        let Ok(message) = decode(&datagram.bytes) else { return };
        let effects = node.engine.receive(self.now, &mut self.rng, datagram.from, message);
        self.carry_out(datagram.to, effects);
    }

    fn carry_out(&mut self, index: usize, effects: Vec<GossipEffect>) {
        let mut behind = IndexSet::new();
        for effect in effects {
            match effect {
                GossipEffect::Send { to, message } => {
                    let Ok(bytes) = encode(&message) else { continue };
                    self.traffic.count(bytes.len() + DATAGRAM_OVERHEAD_BYTES);
                    let Some(to) = index_of(to) else { continue };
                    self.under_way.push(Datagram { from: node_id(index), to, bytes });
                }
                GossipEffect::RevisionBehind { revision, .. } => {
                    behind.insert(revision);
                }
                _ => {}
            }
        }
        self.behind.extend(behind.into_iter().map(|revision| (index, revision)));
    }
}

/// Name of the service with this number.
pub fn service_name(group: usize) -> ServiceName {
    ServiceName::new(&format!("service-{group}"))
}

fn group_of(service: &ServiceName) -> usize {
    let number = service.as_str().rsplit('-').next().and_then(|text| text.parse().ok());
    number.unwrap_or_default()
}

fn node_id(index: usize) -> NodeId {
    let [_, a, b, c] = (index as u32 + 1).to_be_bytes();
    NodeId((Ipv4Addr::new(10, a, b, c), PORT).into())
}

fn index_of(node: NodeId) -> Option<usize> {
    let std::net::IpAddr::V4(ip) = node.0.ip() else { return None };
    let [_, a, b, c] = ip.octets();
    (u32::from_be_bytes([0, a, b, c]) as usize).checked_sub(1)
}

fn record(index: usize, lives: u64) -> MemberRecord {
    let domain = DomainName::new(&format!("domain-{}", index % DOMAINS));
    let region = RegionName::new(&format!("region-{}", index % DOMAINS % REGIONS));
    MemberRecord::new(node_id(index), Incarnation(lives << 32), domain, region)
}
