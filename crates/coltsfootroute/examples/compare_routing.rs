//! Compares ways to choose an upstream on a small queueing model, seeded and without a clock.
//!
//! `cargo run --release --example compare_routing` prints the table of `docs/design/routing.md`:
//! medians over the seeds, least and most in brackets. The model is for this comparison only: nine
//! callers in three failure domains, three upstreams with slots and a bounded queue each.
#![allow(clippy::print_stdout, reason = "a command line program")]

use std::{cmp::Reverse, collections::BinaryHeap, net::SocketAddr, time::Duration};

use coltsfootroute::{
    id::{Incarnation, NodeId},
    name::{DomainName, RegionName},
    routing::{RouteResult, RoutingSettings, UpstreamInfo, UpstreamPool},
    time::MonotonicTime,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const SEEDS: [u64; 7] = [1, 2, 3, 4, 5, 6, 7];
const UPSTREAMS: usize = 3;
const CALLERS: usize = 9;
const SLOTS: usize = 30;
const QUEUE: usize = 120;
/// Mean service time, microseconds.
const SERVICE: f64 = 20_000.0;
/// One way between failure domains, microseconds.
const WAY: u64 = 1_000;
/// Upstream's own way to its caller in the same failure domain, microseconds.
const NEAR_WAY: u64 = 100;
const RUN: u64 = 20_000_000;
const DEADLINE: u64 = 2_000_000;
/// Offered load as a share of the capacity of all upstreams.
const LOAD: f64 = 0.7;
/// Age of the load that upstreams report.
const REPORT_EVERY: u64 = 1_000_000;
/// Share of an upstream's work that the unbalanced way shifts to its neighbour.
const SHIFT: f64 = 0.1;
const SIZE_SAMPLES: usize = 20_000;
/// Upstream that the scenarios disturb.
const DISTURBED: usize = 0;

#[derive(Clone, Copy, PartialEq)]
enum Scenario {
    Steady,
    SlowOne,
    MisleadingHealth,
    ColdStart,
    CorrelatedBursts,
    HeavyTail,
    UnevenCallers,
}

#[derive(Clone, Copy, PartialEq)]
enum Way {
    Random,
    TwoChoices,
    TwoChoicesNear,
    ShortestOfAll,
    ReportedLoad,
    Unbalanced,
}

const SCENARIOS: [(Scenario, &str); 7] = [
    (Scenario::Steady, "steady"),
    (Scenario::SlowOne, "one of 3 slow"),
    (Scenario::MisleadingHealth, "misleading health"),
    (Scenario::ColdStart, "cold start"),
    (Scenario::CorrelatedBursts, "correlated bursts"),
    (Scenario::HeavyTail, "correlated bursts, heavy-tailed sizes"),
    (Scenario::UnevenCallers, "all callers in one domain"),
];

const WAYS: [(Way, &str); 6] = [
    (Way::Random, "random"),
    (Way::TwoChoices, "two choices"),
    (Way::TwoChoicesNear, "two choices, own domain first"),
    (Way::ShortestOfAll, "shortest of all"),
    (Way::ReportedLoad, "least reported load"),
    (Way::Unbalanced, "unbalanced by size"),
];

#[derive(Clone, Copy)]
struct Call {
    caller: usize,
    upstream: usize,
    arrived_at: u64,
    service: u64,
}

#[derive(Clone, Copy)]
enum Event {
    Arrival,
    AtUpstream(Call),
    Served(Call),
    Answer(Call, RouteResult),
    Report,
}

/// Figures of one run.
struct Figures {
    p50_ms: f64,
    p99_ms: f64,
    far_percent: f64,
    failed_percent: f64,
}

struct Model {
    scenario: Scenario,
    way: Way,
    /// Draws arrivals and sizes: the same for every way.
    rng: Pcg64,
    choice_rng: Pcg64,
    pools: Vec<UpstreamPool>,
    /// Calls of each caller in flight to each upstream.
    in_flight: [[usize; UPSTREAMS]; CALLERS],
    busy: [usize; UPSTREAMS],
    queues: Vec<std::collections::VecDeque<Call>>,
    reported: [usize; UPSTREAMS],
    events: BinaryHeap<Reverse<(u64, u64)>>,
    bodies: Vec<Event>,
    bursting: bool,
    bounds: [u64; UPSTREAMS - 1],
    latencies: Vec<u64>,
    offered: u64,
    failed: u64,
    far: u64,
}

fn node(index: usize) -> NodeId {
    NodeId(SocketAddr::from(([127, 0, 0, 1], 7_000 + index as u16)))
}

fn domain(index: usize) -> DomainName {
    DomainName::new(["a", "b", "c"][index % 3])
}

fn upstream_info(index: usize, incarnation: u64) -> UpstreamInfo {
    UpstreamInfo {
        node: node(index),
        incarnation: Incarnation(incarnation),
        domain: domain(index),
        region: RegionName::new("r"),
        slots: SLOTS as u32,
        connections: 800,
        leaving: false,
        suspect: false,
    }
}

impl Model {
    fn new(scenario: Scenario, way: Way, seed: u64) -> Self {
        let settings = RoutingSettings::default().with_callers(CALLERS as u32);
        let settings = match way {
            Way::TwoChoicesNear => settings,
            _ => settings.with_domain_preference(100),
        };
        let pools = (0..CALLERS).map(|caller| {
            let region = RegionName::new("r");
            let own_domain = domain(own_domain(scenario, caller));
            let mut pool = UpstreamPool::new(own_domain, region, settings.clone());
            pool.update(MonotonicTime::ZERO, (0..UPSTREAMS).map(|index| upstream_info(index, 1)));
            pool
        });
        Self {
            scenario,
            way,
            rng: Pcg64::seed_from_u64(seed),
            choice_rng: Pcg64::seed_from_u64(!seed),
            pools: pools.collect(),
            in_flight: Default::default(),
            busy: Default::default(),
            queues: vec![Default::default(); UPSTREAMS],
            reported: Default::default(),
            events: BinaryHeap::new(),
            bodies: Vec::new(),
            bursting: false,
            bounds: Default::default(),
            latencies: Vec::new(),
            offered: 0,
            failed: 0,
            far: 0,
        }
    }

    fn run(mut self) -> Figures {
        self.learn_bounds();
        self.at(0, Event::Arrival);
        self.at(REPORT_EVERY, Event::Report);
        let mut restarted = self.scenario != Scenario::ColdStart;
        while let Some(Reverse((now, body))) = self.events.pop() {
            if !restarted && now > RUN / 2 {
                restarted = true;
                self.restart_disturbed(now);
            }
            match self.bodies[body as usize] {
                Event::Arrival => self.arrival(now),
                Event::AtUpstream(call) => self.at_upstream(now, call),
                Event::Served(call) => self.served(now, call),
                Event::Answer(call, result) => self.answer(now, call, result),
                Event::Report => self.report(now),
            }
        }
        self.figures()
    }

    fn at(&mut self, time: u64, event: Event) {
        // The position also breaks ties in order of insertion.
        self.events.push(Reverse((time, self.bodies.len() as u64)));
        self.bodies.push(event);
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -(1.0 - self.rng.random::<f64>()).ln() * mean
    }

    /// Service time of a call: exponential, or with a coefficient of variation of about 5.
    fn size(&mut self) -> u64 {
        if self.scenario != Scenario::HeavyTail {
            return self.exponential(SERVICE) as u64;
        }
        let large = self.rng.random_bool(0.02);
        self.exponential(if large { SERVICE * 25.5 } else { SERVICE * 0.5 }) as u64
    }

    /// Sizes below which calls go to the first and the second upstream: intervals of equal work,
    /// shifted so that the upstream of the large calls gets less. The idea of E. Smirni, Q. Zhang,
    /// N. Mi, A. Riska and G. Casale, "New Results on the Performance Effects of Autocorrelated Flows
    /// in Systems", 2007. It is shown the true sizes, which a real caller does not know.
    fn learn_bounds(&mut self) {
        let mut sizes: Vec<u64> = (0..SIZE_SAMPLES).map(|_| self.size()).collect();
        sizes.sort_unstable();
        let whole = sizes.iter().sum::<u64>() as f64;
        for (index, bound) in self.bounds.iter_mut().enumerate() {
            let wanted = whole * (index as f64 + 1.0 + SHIFT) / UPSTREAMS as f64;
            let mut below = 0.0;
            let reached = sizes.iter().find(|&&size| {
                below += size as f64;
                below >= wanted
            });
            *bound = reached.copied().unwrap_or(u64::MAX);
        }
    }

    fn arrival(&mut self, now: u64) {
        if now >= RUN {
            return;
        }
        let gap = self.gap();
        self.at(now + gap.max(1), Event::Arrival);
        self.offered += 1;
        let caller = self.rng.random_range(0..CALLERS);
        let service = self.size();
        match self.choose(now, caller, service) {
            Some(upstream) => self.send(now, Call { caller, upstream, arrived_at: now, service }),
            None => self.failed += 1,
        }
    }

    /// Time to the next arrival. Bursts keep the mean: the process stays in a fast or slow state for
    /// many arrivals, which correlates the gaps.
    fn gap(&mut self) -> u64 {
        let mean = SERVICE / (SLOTS as f64 * UPSTREAMS as f64 * LOAD);
        if !matches!(self.scenario, Scenario::CorrelatedBursts | Scenario::HeavyTail) {
            return self.exponential(mean) as u64;
        }
        if self.rng.random_bool(1.0 / 2_000.0) {
            self.bursting = !self.bursting;
        }
        let mean = if self.bursting { mean * 0.55 } else { mean * 1.45 };
        self.exponential(mean) as u64
    }

    fn choose(&mut self, now: u64, caller: usize, service: u64) -> Option<usize> {
        let two = |rng: &mut Pcg64| {
            let first = rng.random_range(0..UPSTREAMS);
            [first, (first + rng.random_range(1..UPSTREAMS)) % UPSTREAMS]
        };
        match self.way {
            Way::Random => Some(self.choice_rng.random_range(0..UPSTREAMS)),
            Way::TwoChoices | Way::TwoChoicesNear => {
                let now = MonotonicTime(now);
                let chosen = self.pools[caller].choose(now, &mut self.choice_rng, &[])?;
                Some(usize::from(chosen.0.port() - 7_000))
            }
            Way::ShortestOfAll => {
                let start = self.choice_rng.random_range(0..UPSTREAMS);
                let order = (0..UPSTREAMS).map(|step| (start + step) % UPSTREAMS);
                order.min_by_key(|&upstream| self.in_flight[caller][upstream])
            }
            Way::ReportedLoad => two(&mut self.choice_rng)
                .into_iter()
                .min_by_key(|&upstream| self.reported[upstream]),
            Way::Unbalanced => {
                Some(self.bounds.iter().position(|&bound| service < bound).unwrap_or(UPSTREAMS - 1))
            }
        }
    }

    fn send(&mut self, now: u64, call: Call) {
        self.far += u64::from(self.is_far(call));
        self.in_flight[call.caller][call.upstream] += 1;
        self.pools[call.caller].started(MonotonicTime(now), node(call.upstream));
        self.at(now + self.way_to(call), Event::AtUpstream(call));
    }

    fn at_upstream(&mut self, now: u64, call: Call) {
        let upstream = call.upstream;
        if self.busy[upstream] < SLOTS {
            self.busy[upstream] += 1;
            self.serve(now, call);
        } else if self.queues[upstream].len() < QUEUE {
            self.queues[upstream].push_back(call);
        } else {
            self.at(now + self.way_to(call), Event::Answer(call, RouteResult::Refused));
        }
    }

    fn serve(&mut self, now: u64, call: Call) {
        let time = call.service as f64 * self.slowness(now, call.upstream);
        self.at(now + (time as u64).max(1), Event::Served(call));
    }

    /// Factor on the service time.
    fn slowness(&self, now: u64, upstream: usize) -> f64 {
        if upstream != DISTURBED {
            return 1.0;
        }
        let middle = (RUN / 4..RUN * 3 / 4).contains(&now);
        match self.scenario {
            Scenario::SlowOne | Scenario::MisleadingHealth if middle => 5.0,
            Scenario::ColdStart if now > RUN / 2 => {
                let warm = ((now - RUN / 2) as f64 / 5_000_000.0).min(1.0);
                1.0 + 4.0 * (1.0 - warm)
            }
            _ => 1.0,
        }
    }

    fn served(&mut self, now: u64, call: Call) {
        self.at(now + self.way_to(call), Event::Answer(call, RouteResult::Succeeded));
        match self.queues[call.upstream].pop_front() {
            Some(next) => self.serve(now, next),
            None => self.busy[call.upstream] -= 1,
        }
    }

    fn answer(&mut self, now: u64, call: Call, result: RouteResult) {
        let latency = now - call.arrived_at;
        let late = latency > DEADLINE;
        let result = if late { RouteResult::Failed } else { result };
        if result == RouteResult::Succeeded {
            self.latencies.push(latency);
        } else {
            self.failed += 1;
        }
        self.in_flight[call.caller][call.upstream] -= 1;
        let latency = Duration::from_micros(latency);
        let pool = &mut self.pools[call.caller];
        pool.finished(MonotonicTime(now), node(call.upstream), latency, result);
    }

    fn is_far(&self, call: Call) -> bool {
        own_domain(self.scenario, call.caller) != call.upstream % 3
    }

    fn way_to(&self, call: Call) -> u64 {
        if self.is_far(call) { WAY } else { NEAR_WAY }
    }

    fn report(&mut self, now: u64) {
        for upstream in 0..UPSTREAMS {
            self.reported[upstream] = self.busy[upstream] + self.queues[upstream].len();
        }
        if self.scenario == Scenario::MisleadingHealth {
            self.reported[DISTURBED] = 0;
        }
        if now < RUN {
            self.at(now + REPORT_EVERY, Event::Report);
        }
    }

    /// The disturbed upstream comes back as a new life with cold caches; its calls had ended before.
    fn restart_disturbed(&mut self, now: u64) {
        for pool in &mut self.pools {
            let infos = (0..UPSTREAMS)
                .map(|index| upstream_info(index, if index == DISTURBED { 1_000_000 } else { 1 }));
            pool.update(MonotonicTime(now), infos);
        }
    }

    fn figures(mut self) -> Figures {
        self.latencies.sort_unstable();
        let at = |share: f64| {
            let position = (self.latencies.len() as f64 * share) as usize;
            self.latencies[position.min(self.latencies.len() - 1)] as f64 / 1_000.0
        };
        Figures {
            p50_ms: at(0.50),
            p99_ms: at(0.99),
            far_percent: self.far as f64 * 100.0 / self.offered as f64,
            failed_percent: self.failed as f64 * 100.0 / self.offered as f64,
        }
    }
}

fn own_domain(scenario: Scenario, caller: usize) -> usize {
    if scenario == Scenario::UnevenCallers { 0 } else { caller % 3 }
}

fn spread(mut values: Vec<f64>, digits: usize) -> String {
    values.sort_by(f64::total_cmp);
    let (least, most) = (values[0], values[values.len() - 1]);
    let median = values[values.len() / 2];
    format!("{median:.digits$} ({least:.digits$}..{most:.digits$})")
}

fn main() {
    println!("| scenario | way | p50 ms | p99 ms | outside the domain % | failed % |");
    println!("|---|---|---|---|---|---|");
    for (scenario, scenario_name) in SCENARIOS {
        for (way, way_name) in WAYS {
            let runs: Vec<_> =
                SEEDS.iter().map(|&seed| Model::new(scenario, way, seed).run()).collect();
            let column =
                |of: fn(&Figures) -> f64, digits| spread(runs.iter().map(of).collect(), digits);
            println!(
                "| {scenario_name} | {way_name} | {} | {} | {} | {} |",
                column(|figures| figures.p50_ms, 1),
                column(|figures| figures.p99_ms, 0),
                column(|figures| figures.far_percent, 1),
                column(|figures| figures.failed_percent, 2),
            );
        }
    }
}
