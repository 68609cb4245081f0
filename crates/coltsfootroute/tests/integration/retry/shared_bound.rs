//! Pattern: repeats at a service whose guards come and go.
//!
//! Each guard bounds the repeats that reach its upstream by what it has seen itself. The promise is one for all of them: in
//! any ten seconds the service gets no more repeats than a fifth of its requests and some that are free, where the requests
//! are those of these ten seconds, of the ten before or of the ten that began five seconds earlier, whichever has most.

use std::time::Duration;

use coltsfootroute::{
    importance::Importance,
    retry::{ServiceThrottle, ThrottleSettings},
    time::MonotonicTime,
};
use rand::{Rng, RngExt, SeedableRng, seq::IteratorRandom};
use rand_pcg::Pcg64;

/// The promise: share of the requests, what is free beyond it, and the window.
const RATIO: f64 = 0.2;
const FREE: f64 = 48.0;
const WINDOW: u64 = 10_000;
/// What calls earn at a guard, as on the platform.
const PER_CALL_THOUSANDTHS: u64 = 160;
const SEEDS: u64 = 100;
const RUN: u64 = 60_000;
/// How long after guards have gone the others know of it.
const NOTICED_AFTER: u64 = 1_500;
/// Retries of one request at most.
const MOST_RETRIES: usize = 5;

fn settings() -> ThrottleSettings {
    ThrottleSettings {
        per_call_thousandths: PER_CALL_THOUSANDTHS,
        per_second_thousandths: 0,
        burst: 1,
        window_seconds: WINDOW / 1_000,
    }
}

/// A guard, and the time until which it takes nothing.
struct Guard {
    throttle: ServiceThrottle,
    away_until: u64,
}

/// A service under attack: every attempt is rejected with `rejected`, and its guards are harmed every other second.
struct Service {
    guards: Vec<Guard>,
    rejected: f64,
    /// How long a repeat that was granted waits for a slot, at most, in milliseconds.
    longest_wait: u64,
    /// Milliseconds at which requests came and repeats reached an upstream.
    requests: Vec<u64>,
    repeats: Vec<u64>,
}

impl Service {
    fn new(guards: usize, rejected: f64, longest_wait: u64) -> Self {
        let guards = (0..guards)
            .map(|_| Guard { throttle: ServiceThrottle::new(at(0), settings()), away_until: 0 })
            .collect();
        Self { guards, rejected, longest_wait, requests: Vec::new(), repeats: Vec::new() }
    }

    fn request(&mut self, millis: u64, rng: &mut impl Rng) {
        self.requests.push(millis);
        let mut tried = Vec::new();
        for attempt in 0..=MOST_RETRIES {
            let there =
                |index: &usize| self.guards[*index].away_until <= millis && !tried.contains(index);
            let Some(index) = (0..self.guards.len()).filter(there).choose(rng) else { return };
            tried.push(index);
            let throttle = &mut self.guards[index].throttle;
            if attempt == 0 {
                throttle.record_call(at(millis));
            } else if throttle.try_retry(at(millis), Importance::Normal) {
                self.repeats.push(millis + rng.random_range(0..=self.longest_wait));
            } else {
                return;
            }
            if !rng.random_bool(self.rejected) {
                return;
            }
        }
    }

    /// Some guards are away for a while, and know nothing when they are back.
    fn harm(&mut self, millis: u64, rng: &mut impl Rng) {
        let count = rng.random_range(0..self.guards.len());
        let lasts = rng.random_range(500..8_000);
        let forgets = rng.random_bool(0.5);
        for guard in self.guards.iter_mut().sample(rng, count) {
            guard.away_until = millis + lasts;
            if forgets {
                guard.throttle = ServiceThrottle::new(at(guard.away_until), settings());
                guard.throttle.record_guard_change(at(guard.away_until));
            }
        }
    }

    /// All guards hear of what has come and gone, some time after.
    fn tell_guards(&mut self, millis: u64) {
        for guard in &mut self.guards {
            guard.throttle.record_guard_change(at(millis));
        }
    }

    /// The window with most repeats beyond the promise, and by how many.
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

/// How many of `times` lie in the window that ends at `end`.
fn count(times: &[u64], end: u64) -> usize {
    let begin = end.saturating_sub(WINDOW);
    times.partition_point(|time| *time < end) - times.partition_point(|time| *time < begin)
}

/// Guards against repeats that pile up since each guard bounds them by its own calls, and these move from one to another.
#[test]
fn repeats_of_a_service_keep_to_the_bound_while_its_guards_come_and_go() {
    let mut worst = Vec::new();
    for seed in 0..SEEDS {
        let mut rng = Pcg64::seed_from_u64(seed);
        let wait = [0, 500, 4_000][usize::try_from(seed % 3).expect("small")];
        let mut service = Service::new(rng.random_range(2..=8), 0.6, wait);
        let each_step = rng.random_range(1..=4);
        for millis in (0..RUN).step_by(10) {
            if millis % 2_000 == 0 {
                service.harm(millis, &mut rng);
            }
            if millis % 2_000 == NOTICED_AFTER {
                service.tell_guards(millis);
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
