//! Decaying rate of retry requests.

use std::time::Duration;

use crate::time::MonotonicTime;

/// Time constant with which the weight of a request decays. Long enough to measure a rate of a few hundred requests a
/// second, and much shorter than an outage of several seconds.
const DECAY_TIME: Duration = Duration::from_millis(250);

/// Rate of recent requests, weighted by an exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DemandRate {
    /// Weighted count at `counted_at`.
    weight: f64,
    counted_at: MonotonicTime,
}

impl DemandRate {
    /// Records a request.
    pub fn record(&mut self, now: MonotonicTime) {
        self.weight = self.weight_at(now) + 1.0;
        self.counted_at = now;
    }

    /// Returns the number of requests expected in `span` at the current rate.
    pub fn expected(&self, now: MonotonicTime, span: Duration) -> u64 {
        (self.weight_at(now) * span.div_duration_f64(DECAY_TIME)) as u64
    }

    fn weight_at(&self, now: MonotonicTime) -> f64 {
        if self.weight == 0.0 {
            return 0.0;
        }
        self.weight * (-now.since(self.counted_at).div_duration_f64(DECAY_TIME)).exp()
    }
}
