//! Clocks of the process, whose readings are passed to the library as arguments.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use coltsfootroute::time::MonotonicTime;
use rustix::time::{ClockId, clock_gettime};

/// Clock that reads the time since the start of the process. It continues while the host is suspended, as the clocks of
/// other hosts do: a lease, deadline or window that ends during the suspension has expired.
///
/// Timers of the runtime are suspended with the host, so a timer that was set before a suspension fires late by its
/// duration. The code that waits for such a timer reads this clock again when the timer fires.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    /// `CLOCK_BOOTTIME` at the start.
    origin: Duration,
    /// `Instant` at the start, which excludes suspensions.
    steady_origin: Instant,
}

impl MonotonicClock {
    /// Creates a clock whose origin is now.
    pub fn new() -> Self {
        Self { origin: boot_time(), steady_origin: Instant::now() }
    }

    /// Returns this clock as it would be after the host had been suspended for a further `time`.
    pub fn with_suspension(self, time: Duration) -> Self {
        Self { origin: self.origin.saturating_sub(time), ..self }
    }

    /// Returns the current time.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime::ZERO + self.elapsed()
    }

    /// Returns the `Instant` at `time`, for timers of the runtime; now if `time` has passed.
    pub fn instant_at(&self, time: MonotonicTime) -> Instant {
        Instant::now() + time.since(self.now())
    }

    /// Returns how long the host has been suspended since the start.
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

/// Returns the time since the start of the host, including suspensions.
fn boot_time() -> Duration {
    read_clock(ClockId::Boottime)
}

/// Reads a system clock that counts from the start of the host, the process or a thread.
pub(crate) fn read_clock(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    // Such a clock counts from a start, so its fields are never negative.
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn wall_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Converts `time` to whole microseconds, the unit of events.
pub fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
