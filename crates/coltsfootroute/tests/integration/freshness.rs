//! Tests of the proof that a configuration is the newest: which revisions and nodes it applies to, and for how long.

mod config_world;
mod head_interval;
mod silence;

use std::time::Duration;

use coltsfootroute::{
    freshness::{ConfigFreshness, RevisionProof, StoreTime},
    revision::Revision,
    time::MonotonicTime,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn proof(revision: u64, at: u64) -> RevisionProof {
    RevisionProof { revision: Revision(revision), at: StoreTime(at) }
}

/// Returns the state of a node on revision 3 that sent a request to the store at 1,000 ms, when the store's clock
/// showed 50,000 ms.
fn proved() -> ConfigFreshness {
    let mut freshness = ConfigFreshness::default();
    freshness.set_revision(Revision(3));
    freshness.record_store_proof(at(1_000), proof(3, 50_000));
    freshness
}

#[test]
fn without_an_answer_nothing_is_proved() {
    let mut freshness = ConfigFreshness::default();
    freshness.set_revision(Revision(3));

    assert_eq!(freshness.age(at(1_000)), None);
    // Proofs of other nodes don't count either: the store's times can't be converted to this node's clock yet.
    freshness.record_proof(proof(3, 50_000));
    assert_eq!(freshness.age(at(1_000)), None);
}

#[test]
fn an_answer_counts_from_its_request_however_long_it_was_delayed() {
    let freshness = proved();

    assert_eq!(freshness.age(at(4_500)), Some(millis(3_500)));
}

#[test]
fn the_proof_of_another_node_counts_from_its_store_time() {
    let mut freshness = proved();

    freshness.record_proof(proof(3, 52_000));

    let age = freshness.age(at(9_000)).expect("a proof");
    // At the earliest 2 s after the request at 1 s, less the largest clock drift.
    assert!((millis(6_000)..millis(6_010)).contains(&age), "{age:?}");
}

#[test]
fn a_proof_of_a_newer_revision_counts_once_that_is_in_force() {
    let mut freshness = proved();

    freshness.record_proof(proof(4, 52_000));
    let before = freshness.age(at(4_000));
    freshness.set_revision(Revision(4));
    let after = freshness.age(at(4_000));

    assert_eq!(before, Some(millis(3_000)));
    assert!(after.is_some_and(|age| age < millis(1_010)), "{after:?}");
}

#[test]
fn an_older_proof_changes_nothing() {
    let mut freshness = proved();
    freshness.record_proof(proof(3, 52_000));
    let before = freshness.age(at(4_000));

    freshness.record_proof(proof(3, 51_000));
    freshness.record_store_proof(at(1_000), proof(3, 50_000));

    assert_eq!(freshness.age(at(4_000)), before);
}

#[test]
fn a_proof_from_the_future_proves_nothing() {
    let mut freshness = proved();

    freshness.record_proof(proof(3, 90_000));

    assert_eq!(freshness.age(at(4_000)), None);
}

#[test]
fn a_proof_is_shared_only_with_revisions_it_applies_to() {
    let freshness = proved();

    assert_eq!(freshness.proof_time_for(Revision(3)), Some(StoreTime(50_000)));
    assert_eq!(freshness.proof_time_for(Revision(4)), Some(StoreTime(50_000)));
    assert_eq!(freshness.proof_time_for(Revision(2)), None);
}

#[test]
fn a_store_without_a_clock_proves_only_to_the_requester() {
    let mut freshness = ConfigFreshness::default();
    freshness.set_revision(Revision(3));

    freshness.record_local_read(at(1_000), Revision(3));
    freshness.record_local_read(at(2_000), Revision(4));

    // Revision 4 is the newest and not in force: the node knows that its configuration is stale.
    assert_eq!(freshness.age(at(3_000)), None);
    freshness.set_revision(Revision(4));
    assert_eq!(freshness.age(at(3_000)), Some(millis(1_000)));
}

/// Pattern: nodes with different clocks query the store at random times and exchange proofs, and every message may be
/// delayed by seconds. At the time that a node computes for its proof, its revision must have been the newest.
#[test]
fn no_delay_makes_a_proof_appear_newer() {
    for seed in 0..200 {
        let mut world = ProofWorld::new(seed);
        for _ in 0..400 {
            world.step();
        }
        assert!(world.proved > 0, "seed {seed}: nothing was ever proved");
    }
}

const NODES: usize = 5;

/// A message in transit, with its arrival in true time.
struct Message {
    arrives: u64,
    to: usize,
    content: Content,
}

enum Content {
    /// The store's answer to a request that was sent at `asked` by the node's clock and reached the store at the true
    /// time
    /// `reached`.
    Answer { asked: MonotonicTime, reached: u64 },
    /// A proof sent by another node.
    Told(RevisionProof),
}

struct ProofWorld {
    rng: Pcg64,
    /// True time in milliseconds.
    now: u64,
    /// True time at which each revision was accepted, indexed by revision.
    accepted: Vec<u64>,
    nodes: Vec<ProofNode>,
    messages: Vec<Message>,
    /// Number of checks in which a node had a proof.
    proved: usize,
}

struct ProofNode {
    freshness: ConfigFreshness,
    held: usize,
    /// Reading of the node's clock at true time 0, and its speed relative to true time in millionths.
    offset: u64,
    speed: u64,
}

impl ProofNode {
    fn clock(&self, now: u64) -> MonotonicTime {
        at(self.offset) + Duration::from_nanos(now * self.speed)
    }
}

/// Reading of the store's clock at true time 0, in milliseconds.
const STORE_OFFSET: u64 = 777_000;

impl ProofWorld {
    fn new(seed: u64) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let nodes = (0..NODES).map(|_| ProofNode {
            freshness: ConfigFreshness::default(),
            held: 0,
            offset: rng.random_range(0..1_000_000),
            speed: rng.random_range(999_800..1_000_200),
        });
        let nodes = nodes.collect();
        Self { rng, now: 0, accepted: vec![0], nodes, messages: Vec::new(), proved: 0 }
    }

    fn step(&mut self) {
        self.now += self.rng.random_range(1..200);
        self.deliver();
        let node = self.rng.random_range(0..NODES);
        match self.rng.random_range(0..10) {
            0 => self.accepted.push(self.now),
            1 => self.put_in_force(node),
            2 | 3 => self.ask_store(node),
            _ => self.tell(node),
        }
        self.check(node);
    }

    /// Draws a delay in milliseconds: usually short, occasionally several seconds.
    fn delay(&mut self) -> u64 {
        match self.rng.random_range(0..8) {
            0 => self.rng.random_range(1_000..9_000),
            _ => self.rng.random_range(0..40),
        }
    }

    fn ask_store(&mut self, node: usize) {
        let asked = self.nodes[node].clock(self.now);
        // The store answers as soon as the request reaches it.
        let reached = self.now + self.delay();
        let arrives = reached + self.delay();
        self.messages.push(Message {
            arrives,
            to: node,
            content: Content::Answer { asked, reached },
        });
    }

    fn tell(&mut self, node: usize) {
        let held = Revision(self.nodes[node].held as u64);
        let Some(at) = self.nodes[node].freshness.proof_time_for(held) else { return };
        let to = self.rng.random_range(0..NODES);
        let arrives = self.now + self.delay();
        let content = Content::Told(RevisionProof { revision: held, at });
        self.messages.push(Message { arrives, to, content });
    }

    fn put_in_force(&mut self, node: usize) {
        let newest = self.accepted.len() - 1;
        let node = &mut self.nodes[node];
        node.held = node.held.max(self.rng.random_range(node.held..=newest));
        node.freshness.set_revision(Revision(node.held as u64));
    }

    fn deliver(&mut self) {
        let now = self.now;
        for message in self.messages.extract_if(.., |message| message.arrives <= now) {
            let freshness = &mut self.nodes[message.to].freshness;
            match message.content {
                Content::Answer { asked, reached } => {
                    let known = self.accepted.iter().filter(|accepted| **accepted <= reached);
                    let newest = known.count() as u64 - 1;
                    freshness.record_store_proof(asked, proof(newest, STORE_OFFSET + reached));
                }
                Content::Told(proof) => freshness.record_proof(proof),
            }
        }
    }

    fn check(&mut self, node: usize) {
        let node = &self.nodes[node];
        let Some(age) = node.freshness.age(node.clock(self.now)) else { return };
        self.proved += 1;
        // The revision in force was the newest until the next one was accepted.
        let Some(overtaken) = self.accepted.get(node.held + 1) else { return };
        let true_age = self.now - overtaken.min(&self.now);
        let slack = Duration::from_nanos(self.now * 400) + millis(1);
        assert!(age + slack >= millis(true_age), "{age:?} against {true_age} ms");
    }
}
