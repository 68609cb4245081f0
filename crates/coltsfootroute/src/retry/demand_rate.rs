//! How often something is asked for.

use std::time::Duration;

use crate::time::MonotonicTime;

/// Time constant with which a question loses weight: a few hundred questions a second are known within it, and a
/// trouble of several seconds is far longer.
const DECAY_TIME: Duration = Duration::from_millis(250);

/// Rate of the questions of late, each weighted by how recent it is.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DemandRate {
    /// Weighted count at `counted_at`.
    weight: f64,
    counted_at: MonotonicTime,
}

impl DemandRate {
    /// Counts a question.
    pub fn record(&mut self, now: MonotonicTime) {
        self.weight = self.weight_at(now) + 1.0;
        self.counted_at = now;
    }

    /// Questions expected in `span` at the present rate.
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
