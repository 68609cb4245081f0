//! Limits of the retry throttle, with a token bucket and with a window.

use std::ops::Range;

use coltsfootroute::{
    importance::Importance,
    retry::{ServiceThrottle, ThrottleSettings},
    time::MonotonicTime,
};

const START: MonotonicTime = MonotonicTime::ZERO;

fn throttle() -> ServiceThrottle {
    ServiceThrottle::new(START, settings())
}

fn settings() -> ThrottleSettings {
    ThrottleSettings {
        per_call_thousandths: 100,
        per_second_thousandths: 0,
        burst: 2,
        window_seconds: 0,
    }
}

/// Creates a throttle with a window of ten seconds.
fn window_throttle() -> ServiceThrottle {
    ServiceThrottle::new(START, ThrottleSettings { window_seconds: 10, ..settings() })
}

/// Makes 100 calls per second for `seconds`, each of which is followed by an attempt to retry in the `failing` seconds.
/// Returns the times in milliseconds at which retries were granted.
fn granted(throttle: &mut ServiceThrottle, seconds: u64, failing: Range<u64>) -> Vec<u64> {
    let mut granted = Vec::new();
    for millis in (0..seconds * 1_000).step_by(10) {
        let now = MonotonicTime::from_millis(millis);
        throttle.record_call(now);
        if failing.contains(&(millis / 1_000)) && throttle.try_retry(now, Importance::Normal) {
            granted.push(millis);
        }
    }
    granted
}

#[test]
fn charged_repeats_use_up_the_burst() {
    let mut throttle = throttle();

    throttle.charge(START);
    throttle.charge(START);

    assert!(!throttle.try_retry(START, Importance::Normal));
}

#[test]
fn charged_repeats_are_compensated_by_calls() {
    let mut throttle = throttle();
    for _ in 0..3 {
        throttle.charge(START);
    }

    for _ in 0..19 {
        throttle.record_call(START);
    }
    let before = throttle.try_retry(START, Importance::Normal);
    throttle.record_call(START);
    let after = throttle.try_retry(START, Importance::Normal);

    assert!(!before, "19 calls earn 1.9 repeats, of which one was already charged in advance");
    assert!(after);
}

#[test]
fn retries_and_charged_repeats_together_stay_within_the_share_of_the_calls() {
    let mut throttle = throttle();
    let mut repeats = 0;

    for call in 0..10_000 {
        throttle.record_call(START);
        // Every fifteenth call is nested below a call that is executed again; every tenth call fails.
        if call % 15 == 0 {
            throttle.charge(START);
            repeats += 1;
        }
        repeats += u32::from(call % 10 == 0 && throttle.try_retry(START, Importance::Normal));
    }

    assert!((900..=1_002).contains(&repeats), "{repeats} of 10,000, 1,000 and the burst at most");
}

#[test]
fn retries_earned_before_a_failure_are_available_when_calls_fail() {
    let mut throttle = window_throttle();

    let granted = granted(&mut throttle, 14, 12..14);

    // The thousand calls of ten seconds earn a hundred retries, for seconds with and without failures together.
    assert!((90..=100).contains(&granted.len()), "{}", granted.len());
}

#[test]
fn in_any_ten_seconds_at_most_their_earnings_are_spent() {
    let mut throttle = window_throttle();

    let granted = granted(&mut throttle, 60, 12..60);

    for start in (0..50_000).step_by(100) {
        let spent = granted.iter().filter(|at| (start..start + 10_000).contains(*at)).count();
        assert!(spent <= 100, "{spent} in the ten seconds from {start} ms on, of 1,000 calls");
    }
    assert!(granted.len() >= 430, "{}", granted.len());
}

#[test]
fn charged_repeats_count_in_the_window_like_retries() {
    let mut throttle = window_throttle();
    granted(&mut throttle, 10, 0..0);
    let now = MonotonicTime::from_millis(9_990);

    for _ in 0..95 {
        throttle.charge(now);
    }
    let granted = (0..100).filter(|_| throttle.try_retry(now, Importance::Normal)).count();

    assert_eq!(granted, 5, "a hundred retries are earned");
}

#[test]
fn a_refunded_retry_may_be_granted_again() {
    let mut throttle = window_throttle();
    let first = [
        throttle.try_retry(START, Importance::Normal),
        throttle.try_retry(START, Importance::Normal),
        throttle.try_retry(START, Importance::Normal),
    ];

    throttle.refund(START, Importance::Normal);
    let again = [
        throttle.try_retry(START, Importance::Normal),
        throttle.try_retry(START, Importance::Normal),
    ];

    assert_eq!(first, [true, true, false], "the burst");
    assert_eq!(again, [true, false]);
}

#[test]
fn earned_retries_expire_with_the_calls_that_earned_them() {
    let mut throttle = window_throttle();
    granted(&mut throttle, 10, 0..0);

    let late = MonotonicTime::from_millis(60_000);
    throttle.record_call(late);
    let granted = (0..100).filter(|_| throttle.try_retry(late, Importance::Normal)).count();

    assert_eq!(granted, 2, "the burst alone");
}

#[test]
fn calls_of_the_previous_window_earn_retries_as_well() {
    let mut throttle = window_throttle();
    // A thousand calls in ten seconds, followed by eight seconds without calls.
    granted(&mut throttle, 10, 0..0);

    let now = MonotonicTime::from_millis(18_000);
    let granted = (0..200).filter(|_| throttle.try_retry(now, Importance::Normal)).count();

    assert!((90..=100).contains(&granted), "{granted}");
}

#[test]
fn a_less_important_retry_is_denied_while_more_important_ones_need_the_budget() {
    let mut throttle = window_throttle();
    granted(&mut throttle, 10, 0..0);
    let high = Importance::Critical;
    let low = Importance::Background;
    // A hundred retries are earned. Ten requests per second of higher importance add up to a hundred in a window.
    for millis in (10_000..12_000).step_by(100) {
        throttle.try_retry(MonotonicTime::from_millis(millis), high);
    }

    let now = MonotonicTime::from_millis(11_990);
    let granted_low = throttle.try_retry(now, low);
    let granted_high = throttle.try_retry(now, high);

    assert!(!granted_low);
    assert!(granted_high);
}
