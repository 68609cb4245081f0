//! Tests of concurrency limits while the upstream sheds load, is slow and recovers.

use std::time::Duration;

use coltsfootroute::{
    admission::{
        AimdLimit, CallFinish, ConcurrencyLimit, DelayLimit, FinishSample, FixedLimit,
        GradientLimit,
    },
    time::MonotonicTime,
};
use rstest::rstest;

const SLOTS: u32 = 100;
const FAST: Duration = Duration::from_millis(10);

/// Reports one finished call per millisecond for `millis` milliseconds, each with `service_time`.
fn feed(
    limit: &mut impl ConcurrencyLimit,
    start: u64,
    millis: u64,
    finish: CallFinish,
    service_time: Duration,
) {
    for at in start..start + millis {
        let in_flight = limit.limit();
        let sample = FinishSample { finish, service_time, in_flight };
        limit.on_finish(MonotonicTime::from_millis(at), &sample);
    }
}

#[test]
fn aimd_decreases_while_the_upstream_sheds_and_recovers_within_two_seconds() {
    let mut limit = AimdLimit::new(SLOTS);

    feed(&mut limit, 0, 5_000, CallFinish::ShedByUpstream, FAST);
    let lowest = limit.limit();
    feed(&mut limit, 5_000, 2_000, CallFinish::Succeeded, FAST);

    assert_eq!(lowest, SLOTS / 10, "decreases to the lowest limit and not below");
    assert_eq!(limit.limit(), SLOTS);
}

#[test]
fn aimd_keeps_its_slots_through_a_slow_phase() {
    let mut limit = AimdLimit::new(SLOTS);

    feed(&mut limit, 0, 1_000, CallFinish::Succeeded, FAST);
    feed(&mut limit, 1_000, 5_000, CallFinish::Succeeded, FAST * 50);
    feed(&mut limit, 6_000, 1_000, CallFinish::TimedOut, FAST * 50);

    assert_eq!(limit.limit(), SLOTS);
}

#[test]
fn aimd_counts_one_burst_of_sheds_once() {
    let mut limit = AimdLimit::new(SLOTS);

    feed(&mut limit, 0, 90, CallFinish::ShedByUpstream, FAST);

    assert_eq!(limit.limit(), SLOTS * 8 / 10);
}

#[test]
fn aimd_follows_a_change_of_slots() {
    let mut limit = AimdLimit::new(SLOTS);

    limit.set_ceiling(SLOTS * 2);
    let open = limit.limit();
    limit.set_ceiling(SLOTS / 2);

    assert_eq!(open, SLOTS * 2);
    assert_eq!(limit.limit(), SLOTS / 2);
}

#[rstest]
#[case::fixed(FixedLimit::new(SLOTS))]
#[case::aimd(AimdLimit::new(SLOTS))]
#[case::gradient(GradientLimit::new(SLOTS))]
#[case::delay(DelayLimit::new(SLOTS))]
fn no_limit_collapses_and_all_recover(#[case] mut limit: impl ConcurrencyLimit) {
    feed(&mut limit, 0, 1_000, CallFinish::Succeeded, FAST);
    feed(&mut limit, 1_000, 5_000, CallFinish::Succeeded, FAST * 50);
    let slow = limit.limit();
    feed(&mut limit, 6_000, 2_000, CallFinish::Succeeded, FAST);

    assert!(slow >= SLOTS / 10, "decreased to {slow}");
    assert!(limit.limit() >= SLOTS * 9 / 10, "not recovered: limit {}", limit.limit());
}
