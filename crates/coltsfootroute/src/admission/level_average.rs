//! Decaying average of recently received shed levels.

use std::time::Duration;

use super::ShedLevel;
use crate::time::MonotonicTime;

/// Time constant of the exponential decay of a response's weight, in microseconds.
const WEIGHT_TIME_CONSTANT_MICROS: f64 = 50_000.0;
/// Half-life of the average while no responses arrive, in microseconds. After one second a tenth of it remains.
const HALF_LIFE_MICROS: f64 = 300_000.0;
/// Time without a response after which the average starts to decay. Shorter gaps are normal.
const DECAY_DELAY: Duration = Duration::from_millis(100);

/// Mean of the received levels, in which recent responses weigh more.
///
/// Invariant: `weight` is at least 1 at the time `last_observed`, because the latest response has weight 1.
#[derive(Clone, Copy, Debug)]
pub(super) struct LevelAverage {
    /// Weighted sum of the levels at `last_observed`.
    sum: f64,
    /// Sum of the weights at `last_observed`.
    weight: f64,
    last_observed: MonotonicTime,
}

impl LevelAverage {
    /// Creates an average of one level, received at `now`.
    pub fn new(now: MonotonicTime, level: ShedLevel) -> Self {
        Self { sum: level.levels(), weight: 1.0, last_observed: now }
    }

    /// Adds the level of another response.
    pub fn observe(&mut self, now: MonotonicTime, level: ShedLevel) {
        let elapsed = now.since(self.last_observed).as_micros() as f64;
        let remaining_weight = (-elapsed / WEIGHT_TIME_CONSTANT_MICROS).exp();
        self.sum = self.sum * remaining_weight + level.levels();
        self.weight = self.weight * remaining_weight + 1.0;
        self.last_observed = now;
    }

    /// Returns the average at `now`, decayed if no response has arrived recently.
    pub fn level(&self, now: MonotonicTime) -> ShedLevel {
        let average = self.sum / self.weight;
        let decay_time = self.age(now).saturating_sub(DECAY_DELAY);
        if decay_time.is_zero() {
            return ShedLevel::from_levels(average);
        }
        let halvings = decay_time.as_micros() as f64 / HALF_LIFE_MICROS;
        ShedLevel::from_levels(average * (-halvings).exp2())
    }

    /// Returns the time since the last response.
    pub fn age(&self, now: MonotonicTime) -> Duration {
        now.since(self.last_observed)
    }
}
