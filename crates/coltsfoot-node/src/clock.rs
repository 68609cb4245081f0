//! The process's clocks, read here and handed to the library as arguments.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use coltsfootroute::time::MonotonicTime;
use rustix::time::{ClockId, clock_gettime};

/// Reads the time since the process's start. It goes on while the host is suspended, as it does for everybody else: a lease,
/// a deadline or a window that has lapsed meanwhile has lapsed.
///
/// Timers of the runtime stand still with the host, so that one set before fires late by as long as the host was suspended;
/// whatever it guards looks at this clock again when it fires.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    /// `CLOCK_BOOTTIME` at the start.
    origin: Duration,
    /// The steady clock at the start.
    steady_origin: Instant,
}

impl MonotonicClock {
    /// A clock whose origin is now.
    pub fn new() -> Self {
        Self { origin: boot_time(), steady_origin: Instant::now() }
    }

    /// The clock as it stands after the host has been suspended for `time` more.
    pub fn with_suspension(self, time: Duration) -> Self {
        Self { origin: self.origin.saturating_sub(time), ..self }
    }

    /// The current time.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime::ZERO + self.elapsed()
    }

    /// The `Instant` at `time`, for timers of the runtime; now if `time` has passed.
    pub fn instant_at(&self, time: MonotonicTime) -> Instant {
        Instant::now() + time.since(self.now())
    }

    /// How long the host has been suspended since the start.
    pub fn suspended(&self) -> Duration {
        self.elapsed().saturating_sub(self.steady_origin.elapsed())
    }

    fn elapsed(&self) -> Duration {
        boot_time().saturating_sub(self.origin)
    }
}

impl Default for MonotonicClock {
    fn default() -> Self {
        Self::new()
    }
}

/// Time since the host has started, suspended or not.
fn boot_time() -> Duration {
    read_clock(ClockId::Boottime)
}

/// What a clock of the system reads that counts from a start: that of the host, the process or a thread.
pub(crate) fn read_clock(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    // Never negative, for the same reason.
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
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
