//! Simulation of a team's requests at many nodes, whose credit requests to the owner are delayed, lost, or sent to
//! different owners.

use std::net::{Ipv4Addr, SocketAddr};

use coltsfootroute::{
    id::NodeId,
    name::TeamName,
    quota::{CreditGrant, CreditLedger, CreditRequest, SETTLING_TIME, TeamCredit},
    schema::RateLimit,
    time::MonotonicTime,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const NODES: usize = 20;
const LIMIT: RateLimit = RateLimit { per_s: 150, burst: 150 };
/// Start of the simulation in milliseconds; late enough that the owners have settled.
const BEGIN: u64 = 60_000;
/// Window in which the limit applies, in milliseconds, with the factor and the number of requests by which it may be
/// exceeded: the users' own bounds.
const WINDOW: u64 = 5_000;
const OVERAGE: f64 = 1.1;
const SLACK: f64 = 20.0;
/// Time after which a credit request without an answer is abandoned, in milliseconds.
const ASK_TIMEOUT: u64 = 250;

/// A credit request to an owner.
struct PendingRequest {
    /// Time at which the answer arrives or the request is abandoned, in milliseconds.
    answered: u64,
    /// The answer; `None` if the request or its answer is lost.
    grant: Option<CreditGrant>,
}

struct QuotaWorld {
    rng: Pcg64,
    now: u64,
    limit: RateLimit,
    team: TeamName,
    ledgers: Vec<CreditLedger>,
    credits: Vec<TeamCredit>,
    /// Index of the owner that each node knows.
    owners: Vec<usize>,
    dead: Vec<usize>,
    /// Time of the last change of the owner.
    changed: Option<MonotonicTime>,
    /// Number of credit requests lost in a thousand.
    loss: u32,
    requests: Vec<Option<PendingRequest>>,
    waiting: Vec<u32>,
    /// Time at which each request was admitted, in milliseconds.
    taken: Vec<u64>,
    refused: usize,
    asked: usize,
}

impl QuotaWorld {
    fn new(seed: u64) -> Self {
        let begin = MonotonicTime::from_millis(BEGIN);
        Self {
            rng: Pcg64::seed_from_u64(seed),
            now: BEGIN,
            limit: LIMIT,
            team: TeamName::new("red"),
            ledgers: vec![CreditLedger::new(); NODES],
            credits: vec![TeamCredit::new(begin); NODES],
            owners: vec![0; NODES],
            dead: Vec::new(),
            changed: None,
            loss: 0,
            requests: (0..NODES).map(|_| None).collect(),
            waiting: vec![0; NODES],
            taken: Vec::new(),
            refused: 0,
            asked: 0,
        }
    }

    /// Lets the team send `per_s` requests a second for `millis`, to nodes drawn from `places`.
    fn run(&mut self, per_s: f64, millis: u64, places: std::ops::Range<usize>) {
        for _ in 0..millis {
            self.now += 1;
            self.settle_requests();
            let mut due = per_s / 1_000.0;
            while due > 0.0 {
                if self.rng.random_bool(due.min(1.0)) {
                    let node = self.rng.random_range(places.clone());
                    self.arrive(node);
                }
                due -= 1.0;
            }
        }
    }

    fn time(&self) -> MonotonicTime {
        MonotonicTime::from_millis(self.now)
    }

    fn arrive(&mut self, node: usize) {
        let now = self.time();
        self.credits[node].record_demand(now);
        if self.credits[node].acquire(now) {
            self.taken.push(self.now);
        } else if self.credits[node].exhausted_for(now).is_some() {
            self.refused += 1;
        } else {
            self.waiting[node] += 1;
        }
        self.ask(node);
    }

    fn ask(&mut self, node: usize) {
        if self.requests[node].is_some() {
            return;
        }
        let now = self.time();
        let wanted = self.credits[node].wanted(now, self.waiting[node]);
        if wanted == 0 {
            return;
        }
        self.asked += 1;
        let owner = self.owners[node];
        let asked = self.now + self.rng.random_range(1..5);
        let is_lost = self.dead.contains(&owner) || self.rng.random_range(0..1_000) < self.loss;
        let grant = (!is_lost).then(|| {
            let address = SocketAddr::from((Ipv4Addr::new(10, 0, 0, node as u8), 7620));
            let read = MonotonicTime::from_millis(asked);
            let request = CreditRequest {
                requester: NodeId(address),
                team: &self.team,
                limit: self.limit,
                wanted,
                used: self.credits[node].used(),
            };
            let is_sole = self.changed.is_none_or(|changed| read.since(changed) >= SETTLING_TIME);
            self.ledgers[owner].grant(read, request, is_sole)
        });
        let answered = match grant {
            Some(_) => asked + self.rng.random_range(1..5),
            None => self.now + ASK_TIMEOUT,
        };
        self.requests[node] = Some(PendingRequest { answered, grant });
    }

    fn settle_requests(&mut self) {
        for node in 0..NODES {
            let due = self.requests[node].take_if(|request| request.answered <= self.now);
            let Some(PendingRequest { grant, .. }) = due else { continue };
            let now = self.time();
            match grant {
                Some(grant) => self.credits[node].grant(now, grant),
                None => self.credits[node].grant_own_share(now),
            }
            while self.waiting[node] > 0 && self.credits[node].acquire(now) {
                self.waiting[node] -= 1;
                self.taken.push(self.now);
            }
            if self.waiting[node] > 0 && self.credits[node].exhausted_for(now).is_some() {
                self.refused += self.waiting[node] as usize;
                self.waiting[node] = 0;
            }
            self.ask(node);
        }
    }

    /// Changes the owner that the nodes in `nodes` know.
    fn change_owner(&mut self, owner: usize, nodes: std::ops::Range<usize>) {
        self.changed = Some(self.time());
        for node in nodes {
            self.owners[node] = owner;
        }
    }

    /// Returns the largest number of requests admitted within any window.
    fn worst_window(&self) -> usize {
        let mut worst = 0;
        let mut first = 0;
        for (last, taken) in self.taken.iter().enumerate() {
            while self.taken[first] + WINDOW <= *taken {
                first += 1;
            }
            worst = worst.max(last + 1 - first);
        }
        worst
    }

    fn bound(&self) -> f64 {
        let limit = f64::from(LIMIT.per_s) * WINDOW as f64 / 1_000.0 + f64::from(LIMIT.burst);
        limit * OVERAGE + SLACK
    }

    fn assert_bound(&self) {
        let worst = self.worst_window();
        assert!((worst as f64) <= self.bound(), "{worst} of {}", self.bound());
    }
}

/// Pattern: a team within its limit, spread over all nodes.
#[test]
fn a_team_within_its_limit_is_never_refused() {
    let mut world = QuotaWorld::new(1);

    world.run(95.0, 30_000, 0..NODES);

    assert_eq!(world.refused, 0);
}

/// Pattern: a team within its limit that sends to two nodes at a time: an even split of the rate would refuse requests
/// there.
#[test]
fn demand_that_moves_between_nodes_is_not_refused() {
    let mut world = QuotaWorld::new(2);

    for round in 0..10 {
        let first = round * 2;
        world.run(95.0, 2_000, first..first + 2);
    }

    assert_eq!(world.refused, 0);
}

/// Pattern: one team sends 7.5 times its usual.
#[test]
fn a_team_far_over_its_limit_gets_its_limit_and_no_more() {
    for seed in 0..20 {
        let mut world = QuotaWorld::new(seed);
        world.run(94.0, 10_000, 0..NODES);
        world.run(703.0, 10_000, 0..NODES);

        world.assert_bound();
        // The rate over ten seconds and the burst, less the credit that expired unused.
        let late = world.taken.iter().filter(|taken| **taken > BEGIN + 10_000).count();
        assert!(late >= 1_500, "{late} of 1,650");
    }
}

/// Pattern: the owner of a team that is far over its limit dies; nodes are notified at different times.
#[test]
fn the_failure_of_an_owner_does_not_exceed_the_limit() {
    for seed in 0..20 {
        let mut world = QuotaWorld::new(seed);
        world.run(703.0, 6_000, 0..NODES);
        world.dead.push(0);
        world.run(703.0, 1_500, 0..NODES);
        world.change_owner(1, 0..NODES / 2);
        world.run(703.0, 1_000, 0..NODES);
        world.change_owner(1, 0..NODES);
        world.run(703.0, 8_000, 0..NODES);

        world.assert_bound();
    }
}

/// Pattern: the owner dies while the team is within its limit: the nodes continue with their own shares of the rate.
#[test]
fn the_failure_of_an_owner_refuses_few_requests_within_the_limit() {
    let mut world = QuotaWorld::new(3);
    world.run(95.0, 6_000, 0..NODES);
    world.dead.push(0);
    world.run(95.0, 2_500, 0..NODES);
    world.change_owner(1, 0..NODES);
    world.run(95.0, 5_000, 0..NODES);

    let sent = world.taken.len() + world.refused + world.waiting.iter().sum::<u32>() as usize;
    assert!(world.taken.len() * 100 >= sent * 88, "{} of {sent}", world.taken.len());
}

/// Pattern: nodes disagree about the owner for seconds, as when only some of them know a new node.
#[test]
fn two_concurrent_owners_do_not_exceed_the_limit() {
    for seed in 0..20 {
        let mut world = QuotaWorld::new(seed);
        world.run(703.0, 6_000, 0..NODES);
        world.change_owner(1, 0..NODES / 2);
        world.run(703.0, 1_500, 0..NODES);
        world.change_owner(1, 0..NODES);
        world.run(703.0, 6_000, 0..NODES);

        world.assert_bound();
    }
}

/// Pattern: a tenth of the credit requests is lost, under demand far over the limit.
#[test]
fn lost_credit_requests_do_not_exceed_the_limit() {
    for seed in 0..20 {
        let mut world = QuotaWorld::new(seed);
        world.loss = 100;
        world.run(703.0, 15_000, 0..NODES);

        world.assert_bound();
    }
}

/// Pattern: an operator lowers the limit while the team sends far over it: one window later the new limit applies.
#[test]
fn a_lowered_limit_applies_a_window_later() {
    let mut world = QuotaWorld::new(4);
    world.run(703.0, 8_000, 0..NODES);
    world.limit = RateLimit { per_s: 30, burst: 30 };
    let lowered = world.now;
    world.run(703.0, 12_000, 0..NODES);

    let late: Vec<_> =
        world.taken.iter().filter(|taken| **taken > lowered + WINDOW).copied().collect();
    world.taken = late;
    assert!(world.worst_window() as f64 <= (30.0 * 5.0 + 30.0) * OVERAGE + SLACK);
}

#[test]
fn credit_requests_are_few_against_requests() {
    let mut world = QuotaWorld::new(5);

    world.run(140.0, 20_000, 0..4);

    let sent = world.taken.len();
    assert!(world.asked * 4 <= sent, "{} credit requests for {sent} requests", world.asked);
}

/// Pattern: a team far over its limit, whose nodes are all denied credit for now.
#[test]
fn a_node_without_credit_does_not_request_it_for_each_request() {
    let mut world = QuotaWorld::new(7);

    world.run(703.0, 20_000, 0..NODES);

    let sent = world.taken.len() + world.refused;
    assert!(world.asked * 2 <= sent, "{} credit requests for {sent} requests", world.asked);
}
