//! Tests that the monotonic clock, which determines expiry, continues while the host is suspended.

use std::time::{Duration, Instant};

use coltsfoot_node::clock::MonotonicClock;
use coltsfootroute::time::MonotonicTime;
use rustix::time::{ClockId, clock_gettime};

/// Nanoseconds of `CLOCK_BOOTTIME`.
fn boot_nanos() -> i128 {
    let time = clock_gettime(ClockId::Boottime);
    i128::from(time.tv_sec) * 1_000_000_000 + i128::from(time.tv_nsec)
}

#[test]
fn it_reads_the_time_since_the_host_started() {
    let before = boot_nanos();
    let clock = MonotonicClock::new();
    let after = boot_nanos();
    let read = clock.now().since(MonotonicTime::ZERO);
    let last = boot_nanos();

    let read = i128::try_from(read.as_nanos()).expect("a short time");
    assert!(read <= last - before, "{read}");
    assert!(last - after >= 0);
}

#[test]
fn a_time_due_during_a_suspension_has_passed_after_it() {
    let clock = MonotonicClock::new();
    let due = clock.now() + Duration::from_secs(4);
    assert!(clock.instant_at(due) > Instant::now());

    let resumed = clock.with_suspension(Duration::from_secs(10));

    assert!(resumed.now() >= due + Duration::from_secs(6));
    assert!(resumed.instant_at(due) <= Instant::now());
    // A timer that is set after the suspension runs from the current time.
    let timer = resumed.instant_at(resumed.now() + Duration::from_secs(3));
    assert!(timer <= Instant::now() + Duration::from_secs(3));
    assert!(timer > Instant::now());
}

#[test]
fn the_duration_of_a_suspension_is_reported() {
    let clock = MonotonicClock::new();
    let before = clock.suspended();

    let resumed = clock.with_suspension(Duration::from_secs(10));

    assert!(before < Duration::from_millis(100), "{before:?}");
    assert!(resumed.suspended() >= Duration::from_secs(10));
}
