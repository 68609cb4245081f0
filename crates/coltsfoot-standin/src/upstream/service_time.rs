//! Distribution of the service time.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

/// Share of the mean that every run takes at least.
const FIXED_SHARE: f64 = 0.5;

/// Service times with a given mean: a fixed half and an exponential half, so that no run is
/// instant and few are long.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceTime {
    mean: Duration,
}

impl ServiceTime {
    /// Times with this mean.
    pub(super) fn new(mean: Duration) -> Self {
        Self { mean }
    }

    /// Draws the time of one run, stretched by `factor`.
    pub(super) fn draw(&self, factor: f64, rng: &mut impl Rng) -> Duration {
        let uniform: f64 = rng.random();
        let exponential = -(1.0 - uniform).ln();
        let share = FIXED_SHARE + (1.0 - FIXED_SHARE) * exponential;
        self.mean.mul_f64((share * factor).max(0.0))
    }
}
