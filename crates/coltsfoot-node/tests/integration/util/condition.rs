//! Waiting for a condition.

use std::{
    thread,
    time::{Duration, Instant},
};

/// Longest wait for an expected event; only reached if the test fails.
pub const MAX_WAIT: Duration = Duration::from_secs(20);

/// Waits until `condition` holds.
pub fn wait_until(mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + MAX_WAIT;
    while !condition() {
        assert!(Instant::now() < until, "the condition was not met in time");
        thread::sleep(Duration::from_millis(5));
    }
}
