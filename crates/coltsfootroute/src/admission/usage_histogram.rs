//! Recent requests by how far their teams use their rates.

use std::time::Duration;

use crate::{quota::RateUsage, time::MonotonicTime};

/// Number of usage classes: the widths are about an eighth of the usage.
const CLASSES: usize = 64;
/// Lower edge of the first class, as a fraction of the rate.
const MIN_RATIO: f64 = 0.01;
/// Upper edge of the last class, as a multiple of the rate; higher usages count as this.
const MAX_RATIO: f64 = 20.0;
/// Time constant with which requests decay.
const DECAY_TIME: Duration = Duration::from_secs(1);

/// Recent requests by how far their teams use their rates, with exponential decay.
#[derive(Clone, Debug)]
pub(super) struct UsageHistogram {
    classes: [UsageClass; CLASSES],
    recorded_at: MonotonicTime,
}

/// Requests of one class.
#[derive(Clone, Copy, Debug, Default)]
struct UsageClass {
    weight: f64,
    /// Sum of the reciprocals of the requests' usages.
    reciprocals: f64,
}

impl UsageHistogram {
    /// Creates a histogram without requests.
    pub(super) fn new() -> Self {
        Self { classes: [UsageClass::default(); CLASSES], recorded_at: MonotonicTime::ZERO }
    }

    /// Records a request of a team with `usage`. Returns the usage by which it counts, as a fraction of the rate.
    pub(super) fn record(&mut self, now: MonotonicTime, usage: RateUsage) -> f64 {
        self.decay(now);
        let ratio = usage.ratio().min(MAX_RATIO);
        let class = &mut self.classes[class_of(ratio)];
        class.weight += 1.0;
        class.reciprocals += 1.0 / ratio;
        ratio
    }

    /// Returns the limit λ for which the mean of min(1, λ / usage) over the recent requests is `fraction`, as a fraction of
    /// the rate; `None` if there are no requests, or if all are admitted.
    pub(super) fn limit(&self, fraction: f64) -> Option<f64> {
        let total: f64 = self.classes.iter().map(|class| class.weight).sum();
        let mut reciprocals: f64 = self.classes.iter().map(|class| class.reciprocals).sum();
        // Requests still to be admitted, after the classes that are admitted whole.
        let mut rest = fraction * total;
        for class in &self.classes {
            let limit = rest / reciprocals;
            // Whole if the limit is at least the harmonic mean of the class's usages; later classes have higher ones.
            let is_whole = class.weight <= 0.0 || limit * class.reciprocals >= class.weight;
            if !is_whole {
                return limit.is_finite().then_some(limit);
            }
            rest -= class.weight;
            reciprocals -= class.reciprocals;
        }
        None
    }

    fn decay(&mut self, now: MonotonicTime) {
        let time = now.since(self.recorded_at);
        self.recorded_at = now;
        let factor = (-time.div_duration_f64(DECAY_TIME)).exp();
        for class in &mut self.classes {
            class.weight *= factor;
            class.reciprocals *= factor;
        }
    }
}

/// Returns the class of a usage; `ratio` is positive.
fn class_of(ratio: f64) -> usize {
    let position = (ratio / MIN_RATIO).ln() / (MAX_RATIO / MIN_RATIO).ln();
    // The cast saturates, and turns a value that is not a number into 0.
    ((position * CLASSES as f64) as usize).min(CLASSES - 1)
}
