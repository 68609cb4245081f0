//! Pattern: a service deep in the call tree that rejects calls although it has capacity for all of them.
//!
//! For a few seconds its upstreams immediately reject a fixed share of the calls, regardless of the load. Each request
//! makes a chain of calls there one after another and fails with the first one that is not served. The bound on repeats
//! is the platform's: a fifth of the calls of ten seconds. Basis of the figures: a chain of four calls, each rejected
//! with a probability of 55 %, succeeds in 4 of 100 cases without repeats and needs 4.9 repeats on average. A hundred
//! important chains and three hundred others per second then need about 1,900 repeats per second, of which 320 are
//! allowed: enough for three quarters of the important chains and for none of the others.

use coltsfootroute::{
    importance::Importance,
    retry::{ServiceThrottle, ThrottleSettings},
    time::MonotonicTime,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64;

const CALLS_OF_CHAIN: u32 = 4;
const REJECTED_SHARE: f64 = 0.55;
/// Retry budget of one request on the platform.
const ACCOUNT_BUDGET: u32 = 8;
const NORMAL_SECONDS: u64 = 20;
const REJECTING_SECONDS: u64 = 8;

/// Number of chains of one importance that started while calls were rejected, and how many of them were served.
#[derive(Default)]
struct ChainCount {
    started: u32,
    served: u32,
}

impl ChainCount {
    fn share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.started)
    }
}

/// Result of the chains that started while calls were rejected.
#[derive(Default)]
struct ChainResult {
    important: ChainCount,
    other: ChainCount,
    repeats: u32,
    calls: u32,
}

fn settings() -> ThrottleSettings {
    ThrottleSettings {
        per_call_thousandths: 200,
        per_second_thousandths: 0,
        burst: 1,
        window_seconds: 10,
    }
}

/// Runs a chain and returns whether it is served. `seen_as` returns the importance under which a retry is requested.
fn run_chain(
    now: MonotonicTime,
    importance: Importance,
    throttle: &mut ServiceThrottle,
    seen_as: fn(Importance) -> Importance,
    result: &mut ChainResult,
    rng: &mut impl Rng,
) -> bool {
    let mut remaining = ACCOUNT_BUDGET;
    for _ in 0..CALLS_OF_CHAIN {
        throttle.record_call(now);
        result.calls += 1;
        while rng.random_bool(REJECTED_SHARE) {
            if remaining == 0 || !throttle.try_retry(now, seen_as(importance)) {
                return false;
            }
            remaining -= 1;
            result.repeats += 1;
        }
    }
    true
}

/// Runs a hundred important and three hundred other chains per second: first without rejections, then with them.
fn run(seen_as: fn(Importance) -> Importance) -> ChainResult {
    let mut throttle = ServiceThrottle::new(MonotonicTime::ZERO, settings());
    let mut rng = Pcg64::seed_from_u64(1);
    for millis in (0..NORMAL_SECONDS * 1_000).step_by(10) {
        let calls = 4 * CALLS_OF_CHAIN;
        (0..calls).for_each(|_| throttle.record_call(MonotonicTime::from_millis(millis)));
    }
    let mut result = ChainResult::default();
    let rejecting = NORMAL_SECONDS * 1_000..(NORMAL_SECONDS + REJECTING_SECONDS) * 1_000;
    for millis in rejecting.step_by(10) {
        let now = MonotonicTime::from_millis(millis);
        for index in 0..4 {
            let importance = if index == 0 { Importance::Normal } else { Importance::Background };
            let served = run_chain(now, importance, &mut throttle, seen_as, &mut result, &mut rng);
            let is_important = importance == Importance::Normal;
            let count = if is_important { &mut result.important } else { &mut result.other };
            count.started += 1;
            count.served += u32::from(served);
        }
    }
    result
}

#[test]
fn repeats_go_to_important_chains_first() {
    let by_importance = run(|importance| importance);
    let by_chance = run(|_| Importance::Normal);

    let important = (by_chance.important.share(), by_importance.important.share());
    assert!(important.0 < 0.35, "{important:?}");
    assert!(important.1 > 0.65, "{important:?}");
}

#[test]
fn the_bound_holds_however_many_repeats_are_requested() {
    let result = run(|importance| importance);

    // The window before the rejections earned a fifth of its calls: 1,600 per second for ten seconds.
    assert!(result.repeats <= 3_200, "{}", result.repeats);
    assert!(result.repeats >= 2_800, "most of the bound is used: {}", result.repeats);
}
