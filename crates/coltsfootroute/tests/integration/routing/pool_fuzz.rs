//! Random calls, results and membership updates: the pool's invariants hold after every step.

use std::time::Duration;

use coltsfootroute::{
    id::{Incarnation, NodeId},
    name::{DomainName, RegionName},
    routing::{RouteResult, RoutingSettings, UpstreamInfo, UpstreamPhase, UpstreamPool},
    time::MonotonicTime,
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::util::fuzz_config::fuzz_config;

use super::scenarios::node;

#[derive(Clone, Debug)]
enum Step {
    Call,
    Finish(usize, RouteResult, u64),
    /// Membership update: for each of six upstreams whether it is listed, leaving and in a new incarnation.
    Update(Vec<(bool, bool, bool)>),
    Wait(u64),
}

const MEMBERS: usize = 6;

fn step() -> impl Strategy<Value = Step> {
    let result = prop_oneof![
        4 => Just(RouteResult::Succeeded),
        4 => Just(RouteResult::Failed),
        2 => Just(RouteResult::Unreachable),
        1 => Just(RouteResult::Refused),
        1 => Just(RouteResult::Cancelled),
        1 => Just(RouteResult::Leaving),
    ];
    let member = (prop::bool::weighted(0.8), prop::bool::weighted(0.1), prop::bool::weighted(0.2));
    prop_oneof![
        12 => Just(Step::Call),
        10 => (any::<usize>(), result, 1..2_000u64)
            .prop_map(|(index, result, millis)| Step::Finish(index, result, millis)),
        1 => prop::collection::vec(member, MEMBERS).prop_map(Step::Update),
        2 => (0..1_000u64).prop_map(Step::Wait),
    ]
}

struct PoolFixture {
    now: MonotonicTime,
    pool: UpstreamPool,
    rng: Pcg64,
    in_flight: Vec<NodeId>,
    ejections: u64,
    incarnations: [u64; MEMBERS],
    /// Whether membership lists each member, and whether it is leaving.
    listed: [(bool, bool); MEMBERS],
}

fn fixture() -> PoolFixture {
    let settings = RoutingSettings::default().with_callers(4);
    let pool = UpstreamPool::new(DomainName::new("0"), RegionName::new("r"), settings);
    let mut fixture = PoolFixture {
        now: MonotonicTime::ZERO,
        pool,
        rng: Pcg64::seed_from_u64(1),
        in_flight: Vec::new(),
        ejections: 0,
        incarnations: [1_000; MEMBERS],
        listed: [(true, false); MEMBERS],
    };
    fixture.update(&[(true, false, false); MEMBERS]);
    fixture
}

impl PoolFixture {
    fn apply(&mut self, step: &Step) {
        match step {
            Step::Call => self.call(),
            Step::Finish(index, result, millis) if !self.in_flight.is_empty() => {
                let node = self.in_flight.swap_remove(index % self.in_flight.len());
                self.pool.finished(self.now, node, Duration::from_millis(*millis), *result);
            }
            Step::Finish(..) => {}
            Step::Update(members) => self.update(members),
            Step::Wait(millis) => self.now = self.now + Duration::from_millis(*millis),
        }
    }

    fn call(&mut self) {
        let before = self.pool.status(self.now);
        let Some(node) = self.pool.choose(self.now, &mut self.rng, &[]) else { return };
        let chosen = before.upstreams.iter().find(|upstream| upstream.node == node).unwrap();
        assert_ne!(chosen.phase, UpstreamPhase::Leaving);
        assert!(self.listed[usize::from(node.0.port())].0, "{node} is no longer a member");
        self.pool.started(self.now, node);
        self.in_flight.push(node);
    }

    fn update(&mut self, members: &[(bool, bool, bool)]) {
        let mut infos = Vec::new();
        for (index, &(listed, leaving, is_restarted)) in members.iter().enumerate() {
            self.incarnations[index] += if is_restarted { 10_000 } else { 0 };
            self.listed[index] = (listed, leaving);
            if listed {
                infos.push(self.info(index, leaving));
            }
        }
        self.pool.update(self.now, infos);
    }

    fn info(&self, index: usize, leaving: bool) -> UpstreamInfo {
        UpstreamInfo {
            node: node(index as u16),
            incarnation: Incarnation(self.incarnations[index]),
            domain: DomainName::new(["0", "1", "2"][index % 3]),
            region: RegionName::new("r"),
            slots: 8,
            connections: 40,
            leaving,
            suspect: false,
        }
    }

    fn check(&mut self) {
        let status = self.pool.status(self.now);
        for upstream in &status.upstreams {
            let expected = self.in_flight.iter().filter(|&&node| node == upstream.node).count();
            assert_eq!(upstream.in_flight as usize, expected, "{}", upstream.node);
            assert!(upstream.in_flight <= upstream.share.0);
        }
        let live = status.upstreams.iter().filter(|upstream| {
            let listed = self.listed[usize::from(upstream.node.0.port())].0;
            listed && upstream.phase != UpstreamPhase::Leaving
        });
        let ejected = live.clone().filter(|upstream| is_ejected(upstream.phase)).count();
        if status.ejections > self.ejections {
            let max = RoutingSettings::default().max_ejected(live.clone().count());
            assert!(ejected <= max, "{ejected} ejected, at most {max}");
        }
        self.ejections = status.ejections;
        let has_capacity = live.clone().any(|upstream| upstream.in_flight < upstream.share.0);
        let any_serving = live.clone().any(|upstream| !is_ejected(upstream.phase));
        let serving_has_capacity = live
            .clone()
            .any(|upstream| !is_ejected(upstream.phase) && upstream.in_flight < upstream.share.0);
        let must_choose = serving_has_capacity || (!any_serving && has_capacity);
        let choice = self.pool.choose(self.now, &mut self.rng, &[]);
        assert!(choice.is_some() || !must_choose, "{status:?}");
        assert_eq!(self.pool.is_empty(), live.count() == 0);
    }
}

fn is_ejected(phase: UpstreamPhase) -> bool {
    matches!(phase, UpstreamPhase::Ejected | UpstreamPhase::Trial)
}

proptest! {
    #![proptest_config(fuzz_config(256, 0x0401_0417))]

    #[test]
    fn the_invariants_hold(steps in prop::collection::vec(step(), 1..300)) {
        let mut fixture = fixture();
        for step in &steps {
            fixture.apply(step);
            fixture.check();
        }
    }
}
