//! Repeats that cannot be helped are paid back before a retry is granted.

use coltsfootroute::{
    retry::{ServiceThrottle, ThrottleSettings},
    time::MonotonicTime,
};

const START: MonotonicTime = MonotonicTime::ZERO;

fn throttle() -> ServiceThrottle {
    let settings =
        ThrottleSettings { per_call_thousandths: 100, per_second_thousandths: 0, burst: 2 };
    ServiceThrottle::new(START, settings)
}

#[test]
fn charged_repeats_use_up_what_was_saved() {
    let mut throttle = throttle();

    throttle.charge();
    throttle.charge();

    assert!(!throttle.try_retry(START));
}

#[test]
fn charged_repeats_are_paid_back_by_calls() {
    let mut throttle = throttle();
    for _ in 0..3 {
        throttle.charge();
    }

    for _ in 0..19 {
        throttle.call();
    }
    let before = throttle.try_retry(START);
    throttle.call();
    let after = throttle.try_retry(START);

    assert!(!before, "19 calls pay for 1.9 repeats, and one is owed");
    assert!(after);
}

#[test]
fn retries_and_charged_repeats_together_keep_to_the_share_of_the_calls() {
    let mut throttle = throttle();
    let mut repeats = 0;

    for call in 0..10_000 {
        throttle.call();
        // Every fifteenth call is nested below work that is run again; each tenth call fails.
        if call % 15 == 0 {
            throttle.charge();
            repeats += 1;
        }
        repeats += u32::from(call % 10 == 0 && throttle.try_retry(START));
    }

    assert!((900..=1_002).contains(&repeats), "{repeats} of 10,000, 1,000 and the burst at most");
}
