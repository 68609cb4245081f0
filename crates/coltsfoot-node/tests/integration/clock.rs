//! The clock by which things lapse goes on while the host is suspended.

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
fn what_was_due_while_the_host_slept_is_past_when_it_wakes() {
    let clock = MonotonicClock::new();
    let due = clock.now() + Duration::from_secs(4);
    assert!(clock.instant_at(due) > Instant::now());

    let woken = clock.with_suspension(Duration::from_secs(10));

    assert!(woken.now() >= due + Duration::from_secs(6));
    assert!(woken.instant_at(due) <= Instant::now());
    // A timer that is set now counts from now.
    let timer = woken.instant_at(woken.now() + Duration::from_secs(3));
    assert!(timer <= Instant::now() + Duration::from_secs(3));
    assert!(timer > Instant::now());
}

#[test]
fn it_tells_how_long_the_host_slept() {
    let clock = MonotonicClock::new();
    let before = clock.suspended();

    let woken = clock.with_suspension(Duration::from_secs(10));

    assert!(before < Duration::from_millis(100), "{before:?}");
    assert!(woken.suspended() >= Duration::from_secs(10));
}
