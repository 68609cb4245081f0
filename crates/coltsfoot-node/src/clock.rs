//! The process's clocks, read here and handed to the library as arguments.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use coltsfootroute::time::MonotonicTime;

/// Reads the monotonic clock relative to the process's start.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    origin: Instant,
}

impl MonotonicClock {
    /// A clock whose origin is now.
    pub fn new() -> Self {
        Self { origin: Instant::now() }
    }

    /// The current time.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime::ZERO + self.origin.elapsed()
    }

    /// The `Instant` at `time`, for timers of the runtime.
    pub fn instant_at(&self, time: MonotonicTime) -> Instant {
        self.origin + time.since(MonotonicTime::ZERO)
    }
}

impl Default for MonotonicClock {
    fn default() -> Self {
        Self::new()
    }
}

/// Milliseconds since the Unix epoch by the wall clock.
pub fn wall_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Whole microseconds, as events tell them.
pub fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
