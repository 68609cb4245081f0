//! Limit with additive increase and multiplicative decrease (AIMD).

use std::time::Duration;

use super::{min_limit, whole_calls};
use crate::{
    admission::{CallFinish, ConcurrencyLimit, FinishSample},
    time::MonotonicTime,
};

/// Factor applied to the limit in one decrease.
const DECREASE_FACTOR: f64 = 0.8;
/// Shortest time between two decreases, so that one burst of rejections counts once.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(100);
/// Time in which the limit grows from zero to the ceiling at the full growth rate.
const FULL_GROWTH_TIME: Duration = Duration::from_secs(1);
/// Time after a decrease until the growth rate is back at its full value.
const RAMP_TIME: Duration = Duration::from_millis(500);
/// Longest time that one growth step accounts for, so that a single success after a long idle time
/// doesn't raise the limit to the ceiling.
const MAX_GROWTH_STEP: Duration = Duration::from_millis(500);

/// Limit that decreases when the upstream sheds load and grows while calls succeed.
///
/// Latency is ignored, so a service that is slow for reasons other than this load keeps its slots.
/// Growth starts slowly after a decrease, which keeps the limit near the upstream's capacity for
/// longer, and reaches the ceiling within about 1.3 s after the upstream has stopped shedding.
#[derive(Clone, Debug)]
pub struct AimdLimit {
    ceiling: u32,
    /// Between the floor and the ceiling.
    limit: f64,
    last_decrease: Option<MonotonicTime>,
    last_growth: MonotonicTime,
    decreases_on_timeout: bool,
    /// Smallest share of the ceiling that must be in flight for a rejection to lower the limit.
    min_decrease_share: f64,
}

impl AimdLimit {
    /// Creates a limit that starts at `slots`, at least 1.
    pub fn new(slots: u32) -> Self {
        let ceiling = slots.max(1);
        Self {
            ceiling,
            limit: f64::from(ceiling),
            last_decrease: None,
            last_growth: MonotonicTime::ZERO,
            decreases_on_timeout: false,
            min_decrease_share: 0.0,
        }
    }

    /// Sets whether the limit also decreases when a call times out.
    pub fn with_timeouts(self, decreases_on_timeout: bool) -> Self {
        Self { decreases_on_timeout, ..self }
    }

    /// Sets the share of the ceiling, between 0 and 1, that must be in flight for a rejection to lower the
    /// limit. Rejections with fewer calls in flight are attributed to a fault of the upstream, which
    /// would reject as many calls at a lower limit.
    pub fn with_min_decrease_share(self, share: f64) -> Self {
        Self { min_decrease_share: share, ..self }
    }

    fn decrease(&mut self, now: MonotonicTime, in_flight: u32) {
        if f64::from(in_flight) < f64::from(self.ceiling) * self.min_decrease_share {
            return;
        }
        let too_soon = |last| now.since(last) < MIN_DECREASE_INTERVAL;
        if self.last_decrease.is_some_and(too_soon) {
            return;
        }
        let in_use = self.limit.min(f64::from(in_flight));
        self.limit = (in_use * DECREASE_FACTOR).max(min_limit(self.ceiling));
        self.last_decrease = Some(now);
        self.last_growth = now;
    }

    fn grow(&mut self, now: MonotonicTime) {
        let step = now.since(self.last_growth).min(MAX_GROWTH_STEP);
        self.last_growth = now;
        let ramp = match self.last_decrease {
            Some(last) => now.since(last).div_duration_f64(RAMP_TIME).min(1.0),
            None => 1.0,
        };
        let ceiling = f64::from(self.ceiling);
        let growth = ceiling * step.div_duration_f64(FULL_GROWTH_TIME) * ramp;
        self.limit = (self.limit + growth).min(ceiling);
    }
}

impl ConcurrencyLimit for AimdLimit {
    fn limit(&self) -> u32 {
        whole_calls(self.limit, self.ceiling)
    }

    fn on_finish(&mut self, now: MonotonicTime, sample: &FinishSample) {
        match sample.finish {
            CallFinish::ShedByUpstream => self.decrease(now, sample.in_flight),
            CallFinish::TimedOut if self.decreases_on_timeout => {
                self.decrease(now, sample.in_flight)
            }
            CallFinish::Succeeded => self.grow(now),
            CallFinish::TimedOut | CallFinish::Failed | CallFinish::Cancelled => (),
        }
    }

    fn set_ceiling(&mut self, slots: u32) {
        let ceiling = slots.max(1);
        let was_open = self.limit >= f64::from(self.ceiling);
        self.ceiling = ceiling;
        self.limit = if was_open { f64::from(ceiling) } else { self.limit.min(f64::from(ceiling)) };
    }
}
