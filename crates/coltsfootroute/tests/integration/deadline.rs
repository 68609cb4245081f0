//! Tests of deadline propagation, deadline checks and time estimates.

use std::time::Duration;

use coltsfootroute::{
    deadline::{DeadlineCheck, DeadlineVerdict, Remaining, ServiceTimes},
    name::{OperationName, ServiceName},
    time::MonotonicTime,
};
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn times_of(samples: impl IntoIterator<Item = u64>) -> ServiceTimes {
    let mut times = ServiceTimes::default();
    for sample in samples {
        times.record(MonotonicTime::ZERO, &service(), &operation(), millis(sample));
    }
    times
}

fn service() -> ServiceName {
    ServiceName::new("logbook")
}

fn operation() -> OperationName {
    OperationName::new("read")
}

/// Generates margins in microseconds, often zero so that rounding errors become visible.
fn margin() -> impl Strategy<Value = u64> {
    prop_oneof![Just(0), 0..5_000u64]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x0dea_0417),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Each hop has its own clock, uses some time and reserves a margin.
    #[test]
    fn no_hop_extends_a_deadline(
        initial in 0..20_000u64,
        hops in prop::collection::vec((0..1_000_000_000u64, 0..500_000u64, margin()), 1..28),
    ) {
        let mut remaining = Remaining(initial);
        let mut elapsed = 0;
        for (clock, spent, margin) in hops {
            let deadline = remaining.deadline(MonotonicTime(clock));
            let later = MonotonicTime(clock + spent);
            remaining = Remaining::until(later, deadline).minus_margin(Duration::from_micros(margin));
            elapsed += spent + margin;
            prop_assert!(remaining.0 * 1_000 <= (initial * 1_000).saturating_sub(elapsed));
        }
    }
}

#[rstest]
#[case::nothing_known(1, None, true)]
#[case::enough(30, Some(20), true)]
#[case::just_enough_with_margin(22, Some(20), true)]
#[case::not_enough_with_margin(21, Some(20), false)]
#[case::passed(0, None, false)]
fn a_call_that_cannot_finish_is_refused(
    #[case] remaining: u64,
    #[case] needed: Option<u64>,
    #[case] admitted: bool,
) {
    let check = DeadlineCheck::new(millis(if needed.is_some() { 2 } else { 0 }));
    let now = MonotonicTime::from_millis(500);

    let verdict = check.admit(now, now + millis(remaining), needed.map(millis));

    assert_eq!(verdict.is_admitted(), admitted, "{verdict:?}");
}

#[test]
fn a_passed_deadline_is_distinguished_from_a_short_one() {
    let now = MonotonicTime::from_millis(500);

    let verdict = DeadlineCheck::default().admit(now, MonotonicTime::from_millis(499), None);

    assert_eq!(verdict, DeadlineVerdict::Passed);
}

#[rstest]
#[case::too_few((0..7).map(|_| 100).collect(), None)]
#[case::all_alike((0..50).map(|_| 100).collect(), Some((75, 100)))]
#[case::fast_tenth((0..50).map(|n| if n % 5 == 0 { 10 } else { 1_000 }).collect(), Some((7, 10)))]
fn needed_time_is_a_low_quantile(#[case] samples: Vec<u64>, #[case] expected: Option<(u64, u64)>) {
    let mut times = times_of(samples);

    let needed = times.needed(MonotonicTime::ZERO, &service(), &operation());

    match expected {
        None => assert_eq!(needed, None),
        Some((least, most)) => {
            let needed = needed.expect("known");
            assert!(millis(least) <= needed && needed <= millis(most), "{needed:?}");
        }
    }
}

#[test]
fn an_estimate_that_refuses_every_call_decays() {
    let mut times = times_of((0..100).map(|_| 1_000));

    let after = |times: &mut ServiceTimes, secs: u64| {
        times.needed(MonotonicTime::from_millis(secs * 1_000), &service(), &operation())
    };

    assert!(after(&mut times, 1).is_some());
    assert!(after(&mut times, 3).is_some());
    assert_eq!(after(&mut times, 4), None);
}

#[test]
fn the_number_of_estimates_is_bounded() {
    let mut times = ServiceTimes::new(2, 10);
    for name in ["a", "b", "c"] {
        for _ in 0..10 {
            times.record(MonotonicTime::ZERO, &service(), &OperationName::new(name), millis(10));
        }
    }

    let known = ["a", "b", "c"].map(|name| {
        times.needed(MonotonicTime::ZERO, &service(), &OperationName::new(name)).is_some()
    });

    assert_eq!(known, [true, true, false]);
}
