//! Model of one upstream behind a gate: arrivals, slots with service times, retries.

use std::{cmp::Reverse, collections::BinaryHeap, ops::Range, time::Duration};

use coltsfootroute::{
    admission::{
        AdmissionDecision, AdmissionGate, AdmissionVerdict, BreachCounter, CallFinish,
        ConcurrencyLimit, ServiceLevels, ShedLevel, WaitingCall,
    },
    importance::Importance,
    name::ServiceName,
    outcome::RefusalReason,
    time::MonotonicTime,
};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::{
    arrivals::{Arrivals, exponential},
    burst_headroom::BurstDetector,
    guard_choice::{GuardChoice, guard_id},
    scenario::{END, SERVICE_SECONDS, Scenario, is_disturbed},
};

/// Cumulated shares of the levels of importance, least important first.
const MIX: [f64; Importance::COUNT] = [0.15, 0.40, 0.70, 0.90, 1.0];
/// Clients.
const CLIENTS: u64 = 50;
/// Share of calls that are nested.
const NESTED: f64 = 0.3;
/// Least and greatest time a call has left.
const DEADLINE_MILLIS: Range<u64> = 50..800;
/// Wait before a retry.
const RETRY_WAIT: Duration = Duration::from_millis(50);
/// Delay of an answer on the way back to the caller.
const ANSWER_DELAY: Duration = Duration::from_millis(3);
/// Time in which the upstream sheds a call.
const SHED_TIME: Duration = Duration::from_millis(1);
/// Window in which an admission of less important work makes a refusal a breach.
const BREACH_WINDOW: Duration = Duration::from_millis(10);
/// The upstream sheds beyond this multiple of its real slots.
const SHED_AT: f64 = 1.5;

/// What became of one call, its retries included.
#[derive(Clone, Copy, Debug)]
pub struct CallResult {
    pub arrived: Duration,
    pub importance: Importance,
    pub completed: bool,
}

/// What a run gave.
#[derive(Default)]
pub struct RunResult {
    pub calls: Vec<CallResult>,
    /// Waits of the calls that ran, in microseconds.
    pub queue_delays: Vec<u64>,
    /// Arrivals that the figures are taken over.
    pub measured: Range<Duration>,
    /// When each run without a complete answer ended.
    pub wasted: Vec<Duration>,
    /// Refusals out of order, over the whole service.
    pub breaches: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Retry { root: usize, tries: u32 },
    End { id: u64, finish: u8 },
    Level { guard: usize, severity: u16 },
}

const FINISHES: [CallFinish; 3] =
    [CallFinish::Succeeded, CallFinish::ShedByUpstream, CallFinish::TimedOut];

#[derive(Clone, Copy, Debug)]
struct Offered {
    root: usize,
    tries: u32,
    guard: usize,
    at: Duration,
    deadline: Duration,
}

/// The model.
pub struct Model<L: ConcurrencyLimit> {
    gates: Vec<AdmissionGate<L>>,
    choice: GuardChoice,
    scenario: Scenario,
    /// Draws what belongs to the offered load: the same for every policy.
    load_rng: Pcg64,
    /// Draws what depends on decisions: service times, sheds at the root.
    rng: Pcg64,
    arrivals: Arrivals,
    detector: Option<BurstDetector>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    offered: IndexMap<u64, Offered>,
    levels: ServiceLevels,
    service: ServiceName,
    breaches: BreachCounter,
    result: RunResult,
}

impl<L: ConcurrencyLimit> Model<L> {
    pub fn new(gates: Vec<AdmissionGate<L>>, scenario: Scenario, seed: u64) -> Self {
        Self {
            gates,
            choice: GuardChoice::default(),
            scenario,
            load_rng: Pcg64::seed_from_u64(seed),
            rng: Pcg64::seed_from_u64(!seed),
            arrivals: Arrivals::new(scenario),
            detector: None,
            events: BinaryHeap::new(),
            sequence: 0,
            offered: IndexMap::new(),
            levels: ServiceLevels::new(),
            service: ServiceName::new("modelled"),
            breaches: BreachCounter::new().with_window(BREACH_WINDOW),
            result: RunResult { measured: scenario.measured(), ..RunResult::default() },
        }
    }

    pub fn with_detector(self, detector: BurstDetector) -> Self {
        Self { detector: Some(detector), ..self }
    }

    pub fn with_choice(self, choice: GuardChoice) -> Self {
        Self { choice, ..self }
    }

    pub fn run(mut self) -> RunResult {
        let first = self.arrivals.next(&mut self.load_rng);
        self.schedule(first, Event::Arrival);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.wake_until(at);
            self.handle(at, event);
        }
        self.result.breaches = self.breaches.breaches();
        self.result
    }

    fn wake_until(&mut self, until: Duration) {
        while let Some((wakeup, guard)) = self.next_wakeup().filter(|next| next.0 < clock(until)) {
            let verdicts = self.gates[guard].tick(wakeup);
            self.apply(Duration::from_micros(wakeup.0), verdicts);
        }
    }

    fn next_wakeup(&self) -> Option<(MonotonicTime, usize)> {
        let gates = self.gates.iter().enumerate();
        gates.filter_map(|(guard, gate)| gate.next_wakeup().map(|time| (time, guard))).min()
    }

    fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::Arrival => self.arrive(now),
            Event::Retry { root, tries } => self.ask(now, root, tries),
            Event::End { id, finish } => self.end(now, id, FINISHES[usize::from(finish)]),
            Event::Level { guard, severity } => {
                let level = ShedLevel::from_severity(severity);
                self.levels.observe(clock(now), &self.service, guard_id(guard), level);
            }
        }
    }

    fn arrive(&mut self, now: Duration) {
        if let Some(detector) = &mut self.detector {
            detector.on_arrival(now);
        }
        let draw = self.load_rng.random::<f64>();
        let index = MIX.iter().position(|share| draw < *share).unwrap_or(0);
        let importance = Importance::ALL[index];
        let root = self.result.calls.len();
        self.result.calls.push(CallResult { arrived: now, importance, completed: false });
        self.ask(now, root, 0);
        let next = self.arrivals.next(&mut self.load_rng);
        if next < END {
            self.schedule(next, Event::Arrival);
        }
    }

    fn ask(&mut self, now: Duration, root: usize, tries: u32) {
        let importance = self.result.calls[root].importance;
        if self.scenario.sheds_at_root() {
            let level = self.choice.service_level(clock(now), &self.levels, &self.service);
            if self.rng.random::<f64>() >= level.admitted_fraction(importance) {
                self.breaches.on_refusal(clock(now), &self.service, importance);
                return self.retry(now, root, tries);
            }
        }
        let guard =
            self.choice.pick(clock(now), &self.levels, &self.service, importance, &mut self.rng);
        let guard = guard % self.gates.len();
        self.sequence += 1;
        let id = self.sequence;
        let deadline = now + Duration::from_millis(self.rng.random_range(DEADLINE_MILLIS));
        self.offered.insert(id, Offered { root, tries, guard, at: now, deadline });
        let call = WaitingCall {
            id,
            importance,
            deadline: clock(deadline),
            client: self.rng.random_range(0..CLIENTS),
            entered: clock(now),
            under_way: self.rng.random::<f64>() < NESTED,
        };
        let verdicts = self.gates[guard].offer(clock(now), call);
        self.apply(now, verdicts);
    }

    fn apply(&mut self, now: Duration, verdicts: Vec<AdmissionVerdict>) {
        for verdict in verdicts {
            let offered = self.offered[&verdict.id];
            match verdict.decision {
                AdmissionDecision::Run => self.serve(now, verdict.id, offered),
                AdmissionDecision::Refuse(reason) => {
                    self.note_refusal(now, offered, reason);
                    self.tell_level(now, offered.guard);
                    self.retry(now, offered.root, offered.tries);
                }
            }
        }
    }

    fn note_refusal(&mut self, now: Duration, offered: Offered, reason: RefusalReason) {
        if reason == RefusalReason::Overload {
            let importance = self.result.calls[offered.root].importance;
            self.breaches.on_refusal(clock(now), &self.service, importance);
        }
    }

    fn serve(&mut self, now: Duration, id: u64, offered: Offered) {
        let importance = self.result.calls[offered.root].importance;
        self.breaches.on_admission(clock(now), &self.service, importance);
        self.result.queue_delays.push((now - offered.at).as_micros() as u64);
        let crowding = f64::from(self.gates[offered.guard].in_flight())
            / f64::from(self.scenario.real_slots(now));
        if crowding > SHED_AT {
            return self.schedule(now + SHED_TIME, Event::End { id, finish: 1 });
        }
        let mean = SERVICE_SECONDS * self.scenario.slowness(now, offered.guard) * crowding.max(1.0);
        // Half fixed, half exponential: calls differ, but not wildly.
        let seconds = mean / 2.0 + exponential(&mut self.rng, mean / 2.0);
        let done = now + Duration::from_secs_f64(seconds);
        let (at, finish) = if done > offered.deadline { (offered.deadline, 2) } else { (done, 0) };
        self.schedule(at, Event::End { id, finish });
    }

    fn end(&mut self, now: Duration, id: u64, finish: CallFinish) {
        let offered = self.offered[&id];
        self.tell_level(now, offered.guard);
        if finish == CallFinish::Succeeded {
            self.result.calls[offered.root].completed = true;
        } else {
            self.result.wasted.push(now);
            self.retry(now, offered.root, offered.tries);
        }
        let verdicts = self.gates[offered.guard].finish(clock(now), id, finish);
        self.apply(now, verdicts);
    }

    fn retry(&mut self, now: Duration, root: usize, tries: u32) {
        let may_retry = tries < self.scenario.retries() && is_disturbed(now);
        if may_retry {
            self.schedule(now + RETRY_WAIT, Event::Retry { root, tries: tries + 1 });
        }
    }

    fn tell_level(&mut self, now: Duration, guard: usize) {
        if self.scenario.sheds_at_root() {
            let severity = self.gates[guard].shed_level(clock(now)).severity();
            self.schedule(now + ANSWER_DELAY, Event::Level { guard, severity });
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        // Whole microseconds, as the gate's clock counts.
        let at = Duration::from_micros(at.as_micros() as u64);
        self.events.push(Reverse((at, self.sequence, event)));
    }
}

fn clock(at: Duration) -> MonotonicTime {
    MonotonicTime::ZERO + at
}
