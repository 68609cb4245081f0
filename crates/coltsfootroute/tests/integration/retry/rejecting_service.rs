//! Pattern: a deep service that rejects calls with room for all.
//!
//! Its upstreams reject a fixed share of the calls at once, whatever the load, for a few seconds. Requests make several
//! calls there one after the other, and fail with the first one that is not served. The bound on repeats is the
//! platform's: a fifth of the calls of ten seconds. Grounds of the figures: a chain of four calls, each rejected with
//! 55 in 100, succeeds in 4 of 100 cases without repeats and needs 4.9 of them on average. A hundred important chains
//! and three hundred others a second then want some 1,900 repeats a second, where 320 are allowed: enough for
//! three quarters of the important ones with nothing left over.

use coltsfootroute::{
    importance::Importance,
    retry::{ServiceThrottle, ThrottleSettings},
    time::MonotonicTime,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64;

const CALLS_OF_CHAIN: u32 = 4;
const REJECTED_SHARE: f64 = 0.55;
/// Retries of one request's account on the platform.
const ACCOUNT: u32 = 8;
const CALM_SECONDS: u64 = 20;
const BAD_SECONDS: u64 = 8;

/// How many chains of each importance began while calls were rejected, and how many of them were served.
#[derive(Default)]
struct ChainCount {
    begun: u32,
    served: u32,
}

impl ChainCount {
    fn share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.begun)
    }
}

/// What came of the chains while calls were rejected.
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

/// Whether the chain is served; `seen_as` gives the importance under which a retry is asked for.
fn run_chain(
    now: MonotonicTime,
    importance: Importance,
    throttle: &mut ServiceThrottle,
    seen_as: fn(Importance) -> Importance,
    result: &mut ChainResult,
    rng: &mut impl Rng,
) -> bool {
    let mut account = ACCOUNT;
    for _ in 0..CALLS_OF_CHAIN {
        throttle.record_call(now);
        result.calls += 1;
        while rng.random_bool(REJECTED_SHARE) {
            if account == 0 || !throttle.try_retry(now, seen_as(importance)) {
                return false;
            }
            account -= 1;
            result.repeats += 1;
        }
    }
    true
}

/// A hundred important and three hundred other chains a second: calm seconds, then bad ones.
fn run(seen_as: fn(Importance) -> Importance) -> ChainResult {
    let mut throttle = ServiceThrottle::new(MonotonicTime::ZERO, settings());
    let mut rng = Pcg64::seed_from_u64(1);
    for millis in (0..CALM_SECONDS * 1_000).step_by(10) {
        let calls = 4 * CALLS_OF_CHAIN;
        (0..calls).for_each(|_| throttle.record_call(MonotonicTime::from_millis(millis)));
    }
    let mut result = ChainResult::default();
    let bad = CALM_SECONDS * 1_000..(CALM_SECONDS + BAD_SECONDS) * 1_000;
    for millis in bad.step_by(10) {
        let now = MonotonicTime::from_millis(millis);
        for index in 0..4 {
            let importance = if index == 0 { Importance::Normal } else { Importance::Background };
            let served = run_chain(now, importance, &mut throttle, seen_as, &mut result, &mut rng);
            let is_important = importance == Importance::Normal;
            let count = if is_important { &mut result.important } else { &mut result.other };
            count.begun += 1;
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
fn the_bound_holds_however_many_are_asked_for() {
    let result = run(|importance| importance);

    // What the calm window before earned: 1,600 calls a second for ten seconds, a fifth of them.
    assert!(result.repeats <= 3_200, "{}", result.repeats);
    assert!(result.repeats >= 2_800, "and it is used: {}", result.repeats);
}
