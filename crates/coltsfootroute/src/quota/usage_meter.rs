//! Average of the credit that an owner grants for a team.

use super::RateUsage;
use crate::time::MonotonicTime;

/// Shortest time constant of the average, in seconds.
const MIN_WINDOW_S: f64 = 1.0;
/// Requests at the full rate within the time constant, at least: a single request of a team with a small rate must not
/// look like a surge.
const MIN_WINDOW_REQUESTS: f64 = 8.0;

/// Average of the requests that an owner grants for a team over all nodes.
#[derive(Clone, Copy, Debug)]
pub(super) struct UsageMeter {
    started: MonotonicTime,
    /// Averaged requests a second, as of `counted_at`; too low by a known factor shortly after the start.
    per_s: f64,
    counted_at: MonotonicTime,
}

impl UsageMeter {
    /// Creates a meter that knows nothing before `now`.
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self { started: now, per_s: 0.0, counted_at: now }
    }

    /// Counts granted requests of a team with a rate of `rate_per_s` requests a second.
    pub(super) fn count(&mut self, now: MonotonicTime, requests: u32, rate_per_s: u32) {
        let window = window_s(rate_per_s);
        let time = now.since(self.counted_at).as_secs_f64();
        self.per_s = self.per_s * (-time / window).exp() + f64::from(requests) / window;
        self.counted_at = now;
    }

    /// Returns the usage of the rate at the last count; `None` until the meter has run for the time constant, or if the
    /// rate is 0.
    pub(super) fn usage(&self, now: MonotonicTime, rate_per_s: u32) -> Option<RateUsage> {
        let window = window_s(rate_per_s);
        let time = now.since(self.started).as_secs_f64();
        if rate_per_s == 0 || time < window {
            return None;
        }
        let counted_part = 1.0 - (-time / window).exp();
        Some(RateUsage::from_ratio(self.per_s / counted_part / f64::from(rate_per_s)))
    }
}

/// Returns the time constant of the average, in seconds.
fn window_s(rate_per_s: u32) -> f64 {
    MIN_WINDOW_S.max(MIN_WINDOW_REQUESTS / f64::from(rate_per_s.max(1)))
}
