//! Limit with a target for the queueing delay inside the upstream.

use std::time::Duration;

use super::{min_limit, whole_calls};
use crate::{
    admission::{CallFinish, ConcurrencyLimit, FinishSample},
    time::MonotonicTime,
};

/// Length of one interval. Only its shortest service time counts, since a burst is not a standing queue.
const INTERVAL: Duration = Duration::from_millis(100);
/// Age at which the base service time is replaced by a new measurement.
const MAX_BASE_AGE: Duration = Duration::from_secs(10);
/// Allowed queueing delay, as a multiple of the base service time.
const TARGET_DELAY_FACTOR: f64 = 1.0;
/// Factor applied to the limit in one decrease.
const DECREASE_FACTOR: f64 = 0.8;
/// Increase of the limit in one interval, as a share of the ceiling.
const GROWTH_SHARE: f64 = 0.1;

/// Limit that decreases while the shortest service time of an interval exceeds the base by more than
/// the target delay.
#[derive(Clone, Debug)]
pub struct DelayLimit {
    ceiling: u32,
    /// Between the floor and the ceiling.
    limit: f64,
    base_service_time: Option<Duration>,
    base_measured_at: MonotonicTime,
    min_service_time: Option<Duration>,
    has_shed: bool,
    interval_start: MonotonicTime,
}

impl DelayLimit {
    /// Creates a limit that starts at `slots`, at least 1.
    pub fn new(slots: u32) -> Self {
        let ceiling = slots.max(1);
        Self {
            ceiling,
            limit: f64::from(ceiling),
            base_service_time: None,
            base_measured_at: MonotonicTime::ZERO,
            min_service_time: None,
            has_shed: false,
            interval_start: MonotonicTime::ZERO,
        }
    }

    fn close_interval(&mut self, now: MonotonicTime) {
        self.interval_start = now;
        let overloaded = std::mem::take(&mut self.has_shed) || self.has_standing_delay(now);
        let next = if overloaded {
            self.limit * DECREASE_FACTOR
        } else {
            self.limit + f64::from(self.ceiling) * GROWTH_SHARE
        };
        self.limit = next.clamp(min_limit(self.ceiling), f64::from(self.ceiling));
    }

    fn has_standing_delay(&mut self, now: MonotonicTime) -> bool {
        let Some(least) = self.min_service_time.take() else { return false };
        let is_old = now.since(self.base_measured_at) > MAX_BASE_AGE;
        let base = match self.base_service_time {
            Some(base) if base <= least && !is_old => base,
            _ => {
                self.base_service_time = Some(least);
                self.base_measured_at = now;
                least
            }
        };
        least > base + base.mul_f64(TARGET_DELAY_FACTOR)
    }
}

impl ConcurrencyLimit for DelayLimit {
    fn limit(&self) -> u32 {
        whole_calls(self.limit, self.ceiling)
    }

    fn on_finish(&mut self, now: MonotonicTime, sample: &FinishSample) {
        match sample.finish {
            CallFinish::Succeeded | CallFinish::TimedOut => {
                let least = self.min_service_time.unwrap_or(sample.service_time);
                self.min_service_time = Some(least.min(sample.service_time));
            }
            CallFinish::ShedByUpstream => self.has_shed = true,
            CallFinish::Failed | CallFinish::Cancelled => (),
        }
        if now.since(self.interval_start) >= INTERVAL {
            self.close_interval(now);
        }
    }

    fn set_ceiling(&mut self, slots: u32) {
        self.ceiling = slots.max(1);
        self.limit = self.limit.clamp(min_limit(self.ceiling), f64::from(self.ceiling));
    }
}
