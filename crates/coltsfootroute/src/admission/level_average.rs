//! Average of the shed levels last_observed of late.

use std::time::Duration;

use super::ShedLevel;
use crate::time::MonotonicTime;

/// Time constant with which an answer loses weight, in microseconds.
const WEIGHT_TIME_CONSTANT_MICROS: f64 = 50_000.0;
/// Half-life of the average without news, in microseconds: a tenth is left after a second.
const HALF_LIFE_MICROS: f64 = 300_000.0;
/// Silence after which the average starts to decay: shorter gaps are ordinary.
const DECAY_DELAY: Duration = Duration::from_millis(100);

/// Mean of the levels last_observed, each answer weighted by how recent it is.
///
/// Invariant: `weight` is at least 1 at the time `last_observed`, since the latest answer counts in full.
#[derive(Clone, Copy, Debug)]
pub(super) struct LevelAverage {
    /// Sum of levels times weights at `last_observed`.
    sum: f64,
    /// Sum of weights at `last_observed`.
    weight: f64,
    last_observed: MonotonicTime,
}

impl LevelAverage {
    /// Starts with the first answer.
    pub fn new(now: MonotonicTime, level: ShedLevel) -> Self {
        Self { sum: level.levels(), weight: 1.0, last_observed: now }
    }

    /// Takes in the level of a further answer.
    pub fn observe(&mut self, now: MonotonicTime, level: ShedLevel) {
        let elapsed = now.since(self.last_observed).as_micros() as f64;
        let remaining_weight = (-elapsed / WEIGHT_TIME_CONSTANT_MICROS).exp();
        self.sum = self.sum * remaining_weight + level.levels();
        self.weight = self.weight * remaining_weight + 1.0;
        self.last_observed = now;
    }

    /// The average at `now`, decayed if there was no news of late.
    pub fn level(&self, now: MonotonicTime) -> ShedLevel {
        let average = self.sum / self.weight;
        let decaying = self.age(now).saturating_sub(DECAY_DELAY);
        if decaying.is_zero() {
            return ShedLevel::from_levels(average);
        }
        let halvings = decaying.as_micros() as f64 / HALF_LIFE_MICROS;
        ShedLevel::from_levels(average * (-halvings).exp2())
    }

    /// Time since the last answer.
    pub fn age(&self, now: MonotonicTime) -> Duration {
        now.since(self.last_observed)
    }
}
