//! Point on a process's monotonic clock.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

value_type! {
    /// Microseconds since an arbitrary origin fixed when the process starts; not comparable between
    /// processes.
    #[derive(Default)]
    pub struct MonotonicTime(pub u64);
}

impl MonotonicTime {
    /// The origin.
    pub const ZERO: Self = Self(0);

    /// Returns the point `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` lies in the future.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for MonotonicTime {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for MonotonicTime {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}
