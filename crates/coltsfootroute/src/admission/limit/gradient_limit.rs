//! Limit that follows the gradient of latency.

use std::time::Duration;

use super::{min_limit, whole_calls};
use crate::{
    admission::{CallFinish, ConcurrencyLimit, FinishSample},
    time::MonotonicTime,
};

/// Weight of a sample in the short average.
const SHORT_WEIGHT: f64 = 0.05;
/// Weight of a sample in the long average.
const LONG_WEIGHT: f64 = 0.002;
/// Factor by which the short average may exceed the long average before the limit decreases.
const TOLERANCE_FACTOR: f64 = 1.5;
/// Lowest gradient used in one step.
const MIN_GRADIENT: f64 = 0.5;
/// Weight of the target in the new limit, for smoothing.
const STEP_WEIGHT: f64 = 0.2;
/// Shortest time between two steps.
const STEP_INTERVAL: Duration = Duration::from_millis(20);

/// Limit that follows the ratio of the long-term average latency to the recent latency.
#[derive(Clone, Debug)]
pub struct GradientLimit {
    ceiling: u32,
    /// Between the floor and the ceiling.
    limit: f64,
    short_micros: f64,
    long_micros: f64,
    last_step: MonotonicTime,
}

impl GradientLimit {
    /// Creates a limit that starts at `slots`, at least 1.
    pub fn new(slots: u32) -> Self {
        let ceiling = slots.max(1);
        Self {
            ceiling,
            limit: f64::from(ceiling),
            short_micros: 0.0,
            long_micros: 0.0,
            last_step: MonotonicTime::ZERO,
        }
    }

    fn average(&mut self, service_time: Duration) {
        let sample = service_time.as_micros() as f64;
        if self.long_micros == 0.0 {
            self.short_micros = sample;
            self.long_micros = sample;
        }
        self.short_micros += (sample - self.short_micros) * SHORT_WEIGHT;
        self.long_micros += (sample - self.long_micros) * LONG_WEIGHT;
        // A long average far above the recent latency stems from an earlier slow phase, so it is capped.
        self.long_micros = self.long_micros.min(self.short_micros * 2.0);
    }

    fn step(&mut self) {
        let ratio = TOLERANCE_FACTOR * self.long_micros / self.short_micros.max(1.0);
        let target = self.limit * ratio.clamp(MIN_GRADIENT, 1.0) + self.limit.sqrt();
        let next = self.limit + (target - self.limit) * STEP_WEIGHT;
        self.limit = next.clamp(min_limit(self.ceiling), f64::from(self.ceiling));
    }
}

impl ConcurrencyLimit for GradientLimit {
    fn limit(&self) -> u32 {
        whole_calls(self.limit, self.ceiling)
    }

    fn on_finish(&mut self, now: MonotonicTime, sample: &FinishSample) {
        match sample.finish {
            CallFinish::Succeeded | CallFinish::TimedOut => self.average(sample.service_time),
            CallFinish::ShedByUpstream => self.limit = self.limit.min(f64::from(sample.in_flight)),
            CallFinish::Failed | CallFinish::Cancelled => return,
        }
        if now.since(self.last_step) >= STEP_INTERVAL {
            self.last_step = now;
            self.step();
        }
    }

    fn set_ceiling(&mut self, slots: u32) {
        self.ceiling = slots.max(1);
        self.limit = self.limit.clamp(min_limit(self.ceiling), f64::from(self.ceiling));
    }
}
