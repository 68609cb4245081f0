//! Pattern: repeats at a service whose guards join and leave.
//!
//! Each guard bounds the repeats that reach its upstream by the calls that it has received itself. The guarantee
//! applies to the service as a whole: in any ten seconds it receives at most a fifth of its requests plus a free
//! allowance as repeats. The requests that count are those of these ten seconds, of the ten seconds before or of the
//! ten seconds that began five seconds earlier, whichever are most.

use std::time::Duration;

use coltsfootroute::{
    importance::Importance,
    retry::{ServiceThrottle, ThrottleSettings},
    time::MonotonicTime,
};
use rand::{Rng, RngExt, SeedableRng, seq::IteratorRandom};
use rand_pcg::Pcg64;

/// Guaranteed maximum ratio of repeats to requests.
const RATIO: f64 = 0.2;
/// Number of repeats that are allowed beyond the ratio in any window.
const FREE: f64 = 48.0;
/// Length of the window in milliseconds.
const WINDOW: u64 = 10_000;
/// Thousandths of a retry that a call earns at a guard, as on the platform.
const PER_CALL_THOUSANDTHS: u64 = 160;
const SEEDS: u64 = 100;
/// Length of a run in milliseconds.
const RUN: u64 = 60_000;
/// Time in milliseconds after which the other guards are notified of guards that are away.
const NOTICED_AFTER: u64 = 1_500;
/// Maximum number of retries of one request.
const MAX_RETRIES: usize = 5;

fn settings() -> ThrottleSettings {
    ThrottleSettings {
        per_call_thousandths: PER_CALL_THOUSANDTHS,
        per_second_thousandths: 0,
        burst: 1,
        window_seconds: WINDOW / 1_000,
    }
}

/// A guard, and the time in milliseconds until which it receives no calls.
struct Guard {
    throttle: ServiceThrottle,
    away_until: u64,
}

/// A service under fault injection: each attempt is rejected with probability `rejected`, and some guards fail every
/// two seconds.
struct Service {
    guards: Vec<Guard>,
    rejected: f64,
    /// Longest time in milliseconds for which a granted repeat waits for a slot.
    max_wait: u64,
    /// Times in milliseconds at which requests arrived.
    requests: Vec<u64>,
    /// Times in milliseconds at which repeats reached an upstream.
    repeats: Vec<u64>,
}

impl Service {
    fn new(guards: usize, rejected: f64, max_wait: u64) -> Self {
        let guards = (0..guards)
            .map(|_| Guard { throttle: ServiceThrottle::new(at(0), settings()), away_until: 0 })
            .collect();
        Self { guards, rejected, max_wait, requests: Vec::new(), repeats: Vec::new() }
    }

    fn request(&mut self, millis: u64, rng: &mut impl Rng) {
        self.requests.push(millis);
        let mut tried = Vec::new();
        for attempt in 0..=MAX_RETRIES {
            let reachable =
                |index: &usize| self.guards[*index].away_until <= millis && !tried.contains(index);
            let Some(index) = (0..self.guards.len()).filter(reachable).choose(rng) else { return };
            tried.push(index);
            let throttle = &mut self.guards[index].throttle;
            if attempt == 0 {
                throttle.record_call(at(millis));
            } else if throttle.try_retry(at(millis), Importance::Normal) {
                self.repeats.push(millis + rng.random_range(0..=self.max_wait));
            } else {
                return;
            }
            if !rng.random_bool(self.rejected) {
                return;
            }
        }
    }

    /// Makes some guards unreachable for a while. In half of the cases they restart and lose their counts.
    fn fail_guards(&mut self, millis: u64, rng: &mut impl Rng) {
        let count = rng.random_range(0..self.guards.len());
        let duration = rng.random_range(500..8_000);
        let restarts = rng.random_bool(0.5);
        for guard in self.guards.iter_mut().sample(rng, count) {
            guard.away_until = millis + duration;
            if restarts {
                guard.throttle = ServiceThrottle::new(at(guard.away_until), settings());
                guard.throttle.record_guard_change(at(guard.away_until));
            }
        }
    }

    /// Notifies all guards that other guards have joined or left.
    fn notify_guards(&mut self, millis: u64) {
        for guard in &mut self.guards {
            guard.throttle.record_guard_change(at(millis));
        }
    }

    /// Returns the end of the window with most repeats beyond the guarantee, and their number.
    fn worst_excess(&mut self) -> (u64, f64) {
        self.repeats.sort_unstable();
        let ends = (WINDOW..RUN).step_by(100);
        let excess = ends.map(|end| {
            let requests = [end, end.saturating_sub(WINDOW / 2), end.saturating_sub(WINDOW)]
                .map(|end| count(&self.requests, end))
                .into_iter()
                .max()
                .unwrap_or_default();
            (end, count(&self.repeats, end) as f64 - RATIO * requests as f64 - FREE)
        });
        excess.max_by(|left, right| left.1.total_cmp(&right.1)).expect("windows")
    }
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::ZERO + Duration::from_millis(millis)
}

/// Returns how many of `times` are in the window that ends at `end`.
fn count(times: &[u64], end: u64) -> usize {
    let begin = end.saturating_sub(WINDOW);
    times.partition_point(|time| *time < end) - times.partition_point(|time| *time < begin)
}

/// Guards against an excess of repeats when calls move between guards, each of which bounds repeats by its own calls.
#[test]
fn repeats_of_a_service_stay_within_the_bound_while_guards_join_and_leave() {
    let mut worst = Vec::new();
    for seed in 0..SEEDS {
        let mut rng = Pcg64::seed_from_u64(seed);
        let wait = [0, 500, 4_000][usize::try_from(seed % 3).expect("small")];
        let mut service = Service::new(rng.random_range(2..=8), 0.6, wait);
        let each_step = rng.random_range(1..=4);
        for millis in (0..RUN).step_by(10) {
            if millis % 2_000 == 0 {
                service.fail_guards(millis, &mut rng);
            }
            if millis % 2_000 == NOTICED_AFTER {
                service.notify_guards(millis);
            }
            (0..each_step).for_each(|_| service.request(millis, &mut rng));
        }

        let (end, excess) = service.worst_excess();

        if excess > 0.0 {
            worst.push(format!("seed {seed}: {excess:.0} too many until {end} ms, wait {wait}"));
        }
    }
    assert_eq!(worst, Vec::<String>::new());
}
