//! Numbers of the arrivals of a request at one upstream.

use std::time::Duration;

use coltsfootroute::{
    retry::{ArrivalCounter, ArrivalNumber},
    time::MonotonicTime,
};

/// Time from an arrival to its deadline.
const TIME_LEFT: Duration = Duration::from_secs(5);
/// Time between two arrivals.
const STEP: Duration = Duration::from_millis(10);

#[test]
fn arrivals_of_a_request_are_numbered_from_one() {
    let mut counter = ArrivalCounter::default();
    let mut count = |millis: u64, request: u64| {
        let now = MonotonicTime::from_millis(millis);
        counter.count(now, request, now + TIME_LEFT).0
    };

    let numbers = [count(0, 1), count(1, 2), count(2, 1), count(3, 1), count(4, 2)];

    assert_eq!(numbers, [1, 1, 2, 3, 2]);
}

/// Guards against a call that is taken for the first arrival of its request since the earlier one was forgotten while other
/// requests came.
#[test]
fn a_request_is_remembered_until_well_after_its_deadline() {
    let mut counter = ArrivalCounter::default();
    let deadline = MonotonicTime::ZERO + TIME_LEFT;
    counter.count(MonotonicTime::ZERO, 0, deadline);
    let late = deadline + Duration::from_secs(20);
    let mut now = MonotonicTime::ZERO;
    let mut others = 1..;

    while now < late {
        now = now + STEP;
        counter.count(now, others.next().expect("endless"), now + TIME_LEFT);
    }

    assert_eq!(counter.count(late, 0, late + TIME_LEFT), ArrivalNumber(2));
}

#[test]
fn memory_is_bounded_by_the_requests_of_the_last_minutes() {
    let mut counter = ArrivalCounter::default();
    let mut now = MonotonicTime::ZERO;
    let mut most = 0;

    for request in 0..100_000 {
        now = now + STEP;
        counter.count(now, request, now + TIME_LEFT);
        most = most.max(counter.len());
    }

    // Twice the retention of 30 s after a deadline in 5 s, and one call that ends the period.
    assert!(most <= 2 * 3_500 + 2, "{most} requests remembered");
}
