//! Compares ways to hold a team to one rate over many nodes, seeded and without a clock.
//!
//! `cargo run --release --example compare_quota` prints the table of `docs/design/teams.md`: means over the seeds. The
//! model is for this comparison only: the requests of one team at some of 20 nodes, messages that take milliseconds, are
//! lost, or go to a node that is gone.
#![allow(clippy::print_stdout, reason = "a command line program")]

use std::{
    collections::VecDeque,
    net::{Ipv4Addr, SocketAddr},
    ops::Range,
};

use coltsfootroute::{
    id::NodeId,
    name::TeamName,
    quota::{CreditGrant, CreditLedger, CreditRequest, SETTLING_TIME, TeamCredit},
    schema::RateLimit,
    table::TokenBucket,
    time::MonotonicTime,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const SEEDS: Range<u64> = 0..10;
const NODES: usize = 20;
/// Windows in which the limit is judged, in milliseconds.
const WINDOW: u64 = 5_000;
/// Time between two reports by gossip, and until they have reached everybody.
const GOSSIP_PERIOD: u64 = 1_000;
const GOSSIP_DELAY: u64 = 1_000;
const ASK_TIMEOUT: u64 = 250;
/// The world begins when owners have settled.
const BEGIN: u64 = 60_000;
/// When the disturbance of a scenario begins and ends.
const DISTURBED: Range<u64> = BEGIN + 10_000..BEGIN + 20_000;
const END: u64 = BEGIN + 30_000;

#[derive(Clone, Copy, PartialEq)]
enum Scenario {
    /// 0.63 of the limit, evenly over all nodes.
    Usual,
    /// A small team at four nodes.
    Small,
    /// 0.63 of the limit, at two nodes that change every two seconds.
    Wandering,
    /// 7.5 times the usual.
    Hot,
    /// The same, with a tenth of the messages lost.
    HotLossy,
    /// The same, while the first node is dead from the middle on.
    HotDeath,
    /// The same, and five nodes are cut off from the others.
    HotCut,
    /// Usual, while the first node is dead from the middle on.
    Death,
}

const SCENARIOS: [(Scenario, &str); 8] = [
    (Scenario::Usual, "usual"),
    (Scenario::Small, "small team"),
    (Scenario::Wandering, "wandering"),
    (Scenario::Hot, "hot"),
    (Scenario::HotLossy, "hot, 10 % lost"),
    (Scenario::HotDeath, "hot, a node dies"),
    (Scenario::HotCut, "hot, 5 nodes cut off"),
    (Scenario::Death, "a node dies"),
];

impl Scenario {
    fn limit(self) -> RateLimit {
        match self {
            Self::Small => RateLimit { per_s: 5, burst: 5 },
            _ => RateLimit { per_s: 150, burst: 150 },
        }
    }

    fn demand(self, now: u64) -> f64 {
        let usual = f64::from(self.limit().per_s) * 0.63;
        let is_hot = !matches!(self, Self::Usual | Self::Small | Self::Wandering | Self::Death);
        if is_hot && DISTURBED.contains(&now) { usual * 7.5 } else { usual }
    }

    fn places(self, now: u64) -> Range<usize> {
        let first = (now / 2_000) as usize % (NODES / 2) * 2;
        match self {
            Self::Small => 4..8,
            Self::Wandering => first..first + 2,
            _ => 0..NODES,
        }
    }

    fn loss(self) -> f64 {
        if self == Self::HotLossy { 0.1 } else { 0.0 }
    }

    /// Whether node 0 is dead.
    fn is_dead(self, now: u64) -> bool {
        matches!(self, Self::HotDeath | Self::Death) && now >= BEGIN + 13_000
    }

    /// Whether messages pass between two nodes.
    fn passes(self, now: u64, left: usize, right: usize) -> bool {
        let is_far = |node: usize| node >= NODES - 5;
        let is_cut = self == Self::HotCut && (BEGIN + 13_000..BEGIN + 17_000).contains(&now);
        !(is_cut && is_far(left) != is_far(right))
            && !(self.is_dead(now) && (left == 0 || right == 0))
    }
}

/// A way to hold a team to its rate.
trait QuotaWay {
    /// A request at `node`: taken in, refused, or, with `None`, told later.
    fn arrive(&mut self, world: &mut World, node: usize) -> Option<bool>;
    /// What is due; each entry tells how a request that waited has ended.
    fn tick(&mut self, world: &mut World) -> Vec<bool>;
}

struct World {
    rng: Pcg64,
    now: u64,
    scenario: Scenario,
    messages: usize,
}

impl World {
    fn time(&self) -> MonotonicTime {
        MonotonicTime::from_millis(self.now)
    }

    /// Whether a message arrives.
    fn send(&mut self, from: usize, to: usize) -> bool {
        self.messages += 1;
        let is_lost = self.rng.random_bool(self.scenario.loss());
        !is_lost && self.scenario.passes(self.now, from, to)
    }
}

fn bucket(limit: RateLimit, part: f64) -> TokenBucket {
    TokenBucket::new(f64::from(limit.per_s) * part, f64::from(limit.burst) * part)
}

/// Each node has the same part of the rate.
struct EvenSplit(Vec<TokenBucket>);

impl QuotaWay for EvenSplit {
    fn arrive(&mut self, world: &mut World, node: usize) -> Option<bool> {
        Some(self.0[node].acquire_up_to(world.time(), 1) == 1)
    }

    fn tick(&mut self, _world: &mut World) -> Vec<bool> {
        Vec::new()
    }
}

/// A node's requests as all others know them.
struct DemandReport {
    arrives: u64,
    node: usize,
    /// For each node, whether it has heard.
    heard: Vec<bool>,
    demand: f64,
}

/// Each node has a part of the rate by its part of the demand, which nodes tell one another.
struct GossipedShares {
    buckets: Vec<TokenBucket>,
    /// Demand of each node as each node knows it: by knower, then by node.
    known: Vec<Vec<f64>>,
    counted: Vec<f64>,
    reports: VecDeque<DemandReport>,
}

impl QuotaWay for GossipedShares {
    fn arrive(&mut self, world: &mut World, node: usize) -> Option<bool> {
        self.counted[node] += 1.0;
        Some(self.buckets[node].acquire_up_to(world.time(), 1) == 1)
    }

    fn tick(&mut self, world: &mut World) -> Vec<bool> {
        if world.now.is_multiple_of(GOSSIP_PERIOD) {
            for node in 0..NODES {
                let heard = (0..NODES).map(|to| world.send(node, to)).collect();
                let demand = std::mem::take(&mut self.counted[node]);
                let arrives = world.now + GOSSIP_DELAY;
                self.reports.push_back(DemandReport { arrives, node, heard, demand });
            }
        }
        while let Some(report) = self.reports.pop_front_if(|report| report.arrives <= world.now) {
            for (knower, _) in report.heard.iter().enumerate().filter(|(_, heard)| **heard) {
                self.known[knower][report.node] = report.demand;
            }
            if report.node == NODES - 1 {
                self.reshape(world);
            }
        }
        Vec::new()
    }
}

impl GossipedShares {
    fn reshape(&mut self, world: &World) {
        let limit = world.scenario.limit();
        for node in 0..NODES {
            let all: f64 = self.known[node].iter().sum();
            // Who has no demand yet keeps a little, for its first requests.
            let part = ((self.known[node][node] + 0.2) / (all + 0.2 * NODES as f64)).max(0.001);
            let (rate, burst) = (f64::from(limit.per_s) * part, f64::from(limit.burst) * part);
            self.buckets[node].set_limits(world.time(), rate, burst);
        }
    }
}

/// Nodes tell one another how many they took in; each takes in as long as the sum that it knows, with its own, fits. The burst
/// is held back for what is not known yet.
struct GossipedCounts {
    /// Taken in by each node in the last seconds, newest last, as each node knows it.
    known: Vec<Vec<VecDeque<u32>>>,
    own: Vec<u32>,
    reports: VecDeque<DemandReport>,
}

impl QuotaWay for GossipedCounts {
    fn arrive(&mut self, world: &mut World, node: usize) -> Option<bool> {
        let limit = world.scenario.limit();
        let others = self.known[node].iter().enumerate().filter(|(other, _)| *other != node);
        let others: u32 = others.map(|(_, counts)| counts.iter().sum::<u32>()).sum();
        let mine: u32 = self.known[node][node].iter().sum::<u32>() + self.own[node];
        let is_free = others + mine < limit.per_s * (WINDOW / 1_000) as u32;
        self.own[node] += u32::from(is_free);
        Some(is_free)
    }

    fn tick(&mut self, world: &mut World) -> Vec<bool> {
        if world.now.is_multiple_of(GOSSIP_PERIOD) {
            for node in 0..NODES {
                let heard = (0..NODES).map(|to| world.send(node, to)).collect();
                let demand = f64::from(std::mem::take(&mut self.own[node]));
                push_count(&mut self.known[node][node], demand as u32);
                let arrives = world.now + GOSSIP_DELAY;
                self.reports.push_back(DemandReport { arrives, node, heard, demand });
            }
        }
        while let Some(report) = self.reports.pop_front_if(|report| report.arrives <= world.now) {
            for knower in (0..NODES).filter(|knower| *knower != report.node) {
                let demand = if report.heard[knower] { report.demand as u32 } else { 0 };
                push_count(&mut self.known[knower][report.node], demand);
            }
        }
        Vec::new()
    }
}

fn push_count(counts: &mut VecDeque<u32>, count: u32) {
    counts.push_back(count);
    if counts.len() > (WINDOW / GOSSIP_PERIOD) as usize {
        counts.pop_front();
    }
}

/// One node owns the credit and gives it out ahead of need: the library's own way.
struct OwnedCredit {
    ledgers: Vec<CreditLedger>,
    credits: Vec<TeamCredit>,
    waiting: Vec<u32>,
    requests: Vec<Option<(u64, Option<CreditGrant>)>>,
    /// When the owner changed.
    changed: Option<MonotonicTime>,
}

impl OwnedCredit {
    /// The first node, until the others know that it has gone.
    fn owner(&self, world: &World) -> usize {
        let is_known = world.now >= BEGIN + 14_500;
        usize::from(is_known && world.scenario.is_dead(world.now))
    }

    fn ask(&mut self, world: &mut World, node: usize) {
        if self.requests[node].is_some() {
            return;
        }
        let wanted = self.credits[node].wanted(world.time(), self.waiting[node]);
        if wanted == 0 {
            return;
        }
        let owner = self.owner(world);
        let arrives = world.send(node, owner) && world.send(owner, node);
        let grant = arrives.then(|| {
            let address = SocketAddr::from((Ipv4Addr::new(10, 0, 0, node as u8), 7620));
            let request = CreditRequest {
                requester: NodeId(address),
                team: &TeamName::new("red"),
                limit: world.scenario.limit(),
                wanted,
                used: self.credits[node].used(),
            };
            let now = world.time();
            let is_sole = self.changed.is_none_or(|changed| now.since(changed) >= SETTLING_TIME);
            self.ledgers[owner].grant(now, request, is_sole)
        });
        let wait = if grant.is_some() { world.rng.random_range(2..8) } else { ASK_TIMEOUT };
        self.requests[node] = Some((world.now + wait, grant));
    }
}

impl QuotaWay for OwnedCredit {
    fn arrive(&mut self, world: &mut World, node: usize) -> Option<bool> {
        let now = world.time();
        self.credits[node].record_demand(now);
        let is_taken = self.credits[node].acquire(now);
        let is_spent = self.credits[node].exhausted_for(now).is_some();
        self.waiting[node] += u32::from(!is_taken && !is_spent);
        self.ask(world, node);
        match (is_taken, is_spent) {
            (true, _) => Some(true),
            (false, true) => Some(false),
            (false, false) => None,
        }
    }

    fn tick(&mut self, world: &mut World) -> Vec<bool> {
        let mut ended = Vec::new();
        if self.changed.is_none() && self.owner(world) == 1 {
            self.changed = Some(world.time());
        }
        for node in 0..NODES {
            let due = self.requests[node].take_if(|(answered, _)| *answered <= world.now);
            let Some((_, grant)) = due else { continue };
            let now = world.time();
            match grant {
                Some(grant) => self.credits[node].grant(now, grant),
                None => self.credits[node].grant_own_share(now),
            }
            while self.waiting[node] > 0 && self.credits[node].acquire(now) {
                self.waiting[node] -= 1;
                ended.push(true);
            }
            if grant.is_none() || self.credits[node].exhausted_for(now).is_some() {
                let refused = std::mem::take(&mut self.waiting[node]);
                ended.extend((0..refused).map(|_| false));
            }
            self.ask(world, node);
        }
        ended
    }
}

struct Figures {
    /// Most requests in a window against what the limit allows in it, burst included.
    worst: f64,
    /// Refused of the requests that came while demand was within the limit.
    refused: f64,
    /// Of the limit, what was given while demand was over it.
    used: f64,
    /// Messages a node a second.
    messages: f64,
}

fn play(way: &mut impl QuotaWay, scenario: Scenario, seed: u64) -> Figures {
    let rng = Pcg64::seed_from_u64(seed);
    let mut world = World { rng, now: BEGIN, scenario, messages: 0 };
    let mut taken: Vec<u64> = Vec::new();
    let (mut within, mut refused) = (0.0, 0.0);
    while world.now < END {
        world.now += 1;
        let now = world.now;
        let is_within = scenario.demand(now) <= f64::from(scenario.limit().per_s);
        let mut ended = way.tick(&mut world);
        if world.rng.random_bool((scenario.demand(now) / 1_000.0).min(1.0)) {
            let places = scenario.places(now);
            let node = world.rng.random_range(places);
            // A dead node has no clients.
            if !(node == 0 && scenario.is_dead(now)) {
                ended.extend(way.arrive(&mut world, node));
                within += f64::from(u8::from(is_within));
            }
        }
        for is_taken in ended {
            if is_taken {
                taken.push(now);
            } else {
                refused += f64::from(u8::from(is_within));
            }
        }
    }
    let limit = scenario.limit();
    let allowed = f64::from(limit.per_s) * WINDOW as f64 / 1_000.0 + f64::from(limit.burst);
    let disturbed = taken.iter().filter(|taken| DISTURBED.contains(taken)).count() as f64;
    Figures {
        worst: worst_window(&taken) as f64 / allowed,
        refused: refused / f64::max(within, 1.0),
        used: disturbed / (f64::from(limit.per_s) * 10.0),
        messages: world.messages as f64 / NODES as f64 / 30.0,
    }
}

fn worst_window(taken: &[u64]) -> usize {
    let mut worst = 0;
    let mut first = 0;
    for (last, time) in taken.iter().enumerate() {
        while taken[first] + WINDOW <= *time {
            first += 1;
        }
        worst = worst.max(last + 1 - first);
    }
    worst
}

fn report<W: QuotaWay>(name: &str, scenario: Scenario, label: &str, make: impl Fn() -> W) {
    let all: Vec<_> = SEEDS.map(|seed| play(&mut make(), scenario, seed)).collect();
    let mean = |figure: fn(&Figures) -> f64| all.iter().map(figure).sum::<f64>() / all.len() as f64;
    let worst = all.iter().map(|figures| figures.worst).fold(0.0, f64::max);
    println!(
        "| {label} | {name} | {worst:.2} | {:.1} | {:.2} | {:.1} |",
        mean(|figures| figures.refused) * 100.0,
        mean(|figures| figures.used),
        mean(|figures| figures.messages)
    );
}

fn main() {
    println!(
        "| load | way | worst window / allowed | refused within the limit, % | used of the rate | messages a node a second |"
    );
    println!("|---|---|---|---|---|---|");
    for (scenario, label) in SCENARIOS {
        let limit = scenario.limit();
        report("even split", scenario, label, || {
            EvenSplit(vec![bucket(limit, 1.0 / NODES as f64); NODES])
        });
        report("shares by gossiped demand", scenario, label, || GossipedShares {
            buckets: vec![bucket(limit, 1.0 / NODES as f64); NODES],
            known: vec![vec![0.0; NODES]; NODES],
            counted: vec![0.0; NODES],
            reports: VecDeque::new(),
        });
        report("gossiped counts", scenario, label, || GossipedCounts {
            known: vec![vec![VecDeque::new(); NODES]; NODES],
            own: vec![0; NODES],
            reports: VecDeque::new(),
        });
        report("an owner's credit", scenario, label, || OwnedCredit {
            ledgers: vec![CreditLedger::new(); NODES],
            credits: vec![TeamCredit::new(MonotonicTime::from_millis(BEGIN)); NODES],
            waiting: vec![0; NODES],
            requests: vec![None; NODES],
            changed: None,
        });
    }
}
