//! Average of the shed levels heard of late.

use std::time::Duration;

use super::ShedLevel;
use crate::time::MonotonicTime;

/// Time constant with which an answer loses weight, in microseconds.
const MEMORY_MICROS: f64 = 50_000.0;
/// Half-life of the average without news, in microseconds: a tenth is left after a second.
const HALF_LIFE_MICROS: f64 = 300_000.0;
/// Silence after which the average starts to decay: shorter gaps are ordinary.
const FRESH: Duration = Duration::from_millis(100);

/// Mean of the levels heard, each answer weighted by how recent it is.
///
/// Invariant: `weight` is at least 1 at the time `heard`, since the latest answer counts in full.
#[derive(Clone, Copy, Debug)]
pub(super) struct LevelAverage {
    /// Sum of levels times weights at `heard`.
    sum: f64,
    /// Sum of weights at `heard`.
    weight: f64,
    heard: MonotonicTime,
}

impl LevelAverage {
    /// Starts with the first answer.
    pub fn new(now: MonotonicTime, level: ShedLevel) -> Self {
        Self { sum: level.levels(), weight: 1.0, heard: now }
    }

    /// Takes in the level of a further answer.
    pub fn observe(&mut self, now: MonotonicTime, level: ShedLevel) {
        let elapsed = now.since(self.heard).as_micros() as f64;
        let kept = (-elapsed / MEMORY_MICROS).exp();
        self.sum = self.sum * kept + level.levels();
        self.weight = self.weight * kept + 1.0;
        self.heard = now;
    }

    /// The average at `now`, decayed if there was no news of late.
    pub fn level(&self, now: MonotonicTime) -> ShedLevel {
        let average = self.sum / self.weight;
        let silence = self.age(now).saturating_sub(FRESH);
        if silence.is_zero() {
            return ShedLevel::from_levels(average);
        }
        let halvings = silence.as_micros() as f64 / HALF_LIFE_MICROS;
        ShedLevel::from_levels(average * (-halvings).exp2())
    }

    /// Time since the last answer.
    pub fn age(&self, now: MonotonicTime) -> Duration {
        now.since(self.heard)
    }
}
