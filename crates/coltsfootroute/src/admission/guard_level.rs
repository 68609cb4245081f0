//! Shed level of one guard as a caller knows it.

use std::time::Duration;

use super::ShedLevel;
use crate::time::MonotonicTime;

/// Time constant with which the level follows the news, in microseconds.
const FOLLOW_MICROS: f64 = 50_000.0;
/// Half-life of a level without news, in microseconds: a tenth is left after a second.
const HALF_LIFE_MICROS: f64 = 300_000.0;
/// Age at which the level starts to decay: shorter gaps are ordinary.
const FRESH: Duration = Duration::from_millis(100);
/// Time constant of the weight, in microseconds.
const WEIGHT_MICROS: f64 = 1_000_000.0;

/// What a caller has heard of one guard.
#[derive(Clone, Copy, Debug)]
pub(super) struct GuardLevel {
    levels: f64,
    /// Decaying count of answers: the share of the caller's traffic that the guard gets.
    weight: f64,
    heard: MonotonicTime,
}

impl GuardLevel {
    /// Starts with the first news.
    pub fn new(now: MonotonicTime, level: ShedLevel) -> Self {
        Self { levels: level.levels(), weight: 1.0, heard: now }
    }

    /// Takes in further news, smoothed.
    pub fn observe(&mut self, now: MonotonicTime, level: ShedLevel) {
        let elapsed = now.since(self.heard).as_micros() as f64;
        let current = self.levels(now);
        let follow = 1.0 - (-elapsed.max(1.0) / FOLLOW_MICROS).exp();
        self.levels = current + (level.levels() - current) * follow;
        self.weight = self.weight(now) + 1.0;
        self.heard = now;
    }

    /// The level at `now`, decayed if there was no news of late.
    pub fn levels(&self, now: MonotonicTime) -> f64 {
        let stale = now.since(self.heard).saturating_sub(FRESH).as_micros() as f64;
        self.levels * (-stale / HALF_LIFE_MICROS).exp2()
    }

    /// The decaying count of answers at `now`.
    pub fn weight(&self, now: MonotonicTime) -> f64 {
        let elapsed = now.since(self.heard).as_micros() as f64;
        self.weight * (-elapsed / WEIGHT_MICROS).exp()
    }

    /// Time since the last news.
    pub fn age(&self, now: MonotonicTime) -> Duration {
        now.since(self.heard)
    }
}
