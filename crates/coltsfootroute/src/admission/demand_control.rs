//! A guard's shed level by demand and capacity.

use std::time::Duration;

use super::{ShedLevel, waiting_call::RANKS};
use crate::{importance::Importance, time::MonotonicTime};

/// Length of one window of observation.
const WINDOW: Duration = Duration::from_millis(100);
/// Weight of the newest window in the averages: half of a change shows after some 0.4 s.
const WINDOW_WEIGHT: f64 = 0.15;
/// Weight of one call in the mean service time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;
/// Share of the usable slots that is given out: above it queues grow without bound.
const TARGET_UTILIZATION: f64 = 0.97;
/// Least admitted share by which demand is made up for: below it what arrives says little of what is wanted.
const MIN_ADMITTED_SHARE: f64 = 0.05;
/// Most windows without a call that are worked through one by one; after these nothing is demanded.
const MAX_REPLAYED_WINDOWS: u64 = 50;

/// Turns what callers want done into a [`ShedLevel`].
///
/// The demand of each importance is its rate of calls times their mean service time, in slots, divided by
/// the share of requests that the level has let through at the root. The level admits importances from the
/// top while their demand fits the slots, the share of the next that still fits, and nothing below.
#[derive(Clone, Debug)]
pub(super) struct DemandControl {
    window_start: MonotonicTime,
    /// Calls offered in the current window.
    offered: [u32; RANKS],
    /// Calls offered in a window, on average.
    rates: [f64; RANKS],
    /// Mean service time in seconds; 0 before the first call.
    service_times: [f64; RANKS],
    /// Share of each importance that the level let through, averaged like the rates.
    admitted_shares: [f64; Importance::COUNT],
    level: ShedLevel,
}

impl DemandControl {
    /// A controller that has seen nothing and sheds nothing.
    pub fn new() -> Self {
        Self {
            window_start: MonotonicTime::ZERO,
            offered: [0; RANKS],
            rates: [0.0; RANKS],
            service_times: [0.0; RANKS],
            admitted_shares: [1.0; Importance::COUNT],
            level: ShedLevel::OPEN,
        }
    }

    /// Counts an offered call.
    pub fn on_offer(&mut self, rank: usize) {
        self.offered[rank] += 1;
    }

    /// Takes in the service time of a call that ended.
    pub fn on_finish(&mut self, rank: usize, service_time: Duration) {
        let sample = service_time.as_secs_f64();
        let time = &mut self.service_times[rank];
        *time = if *time == 0.0 { sample } else { *time + SERVICE_TIME_WEIGHT * (sample - *time) };
    }

    /// Closes the windows that have ended by `now`, at a capacity of `limit` calls at a time.
    pub fn advance(&mut self, now: MonotonicTime, limit: u32) {
        let elapsed = now.since(self.window_start).as_micros() / WINDOW.as_micros();
        let windows = u64::try_from(elapsed).unwrap_or(u64::MAX);
        if windows == 0 {
            return;
        }
        for _ in 0..windows.min(MAX_REPLAYED_WINDOWS) {
            self.close_window();
        }
        let whole = u32::try_from(windows).unwrap_or(u32::MAX);
        self.window_start = self.window_start + WINDOW * whole;
        self.level = self.level_for(f64::from(limit) * TARGET_UTILIZATION);
    }

    /// The level in force.
    pub fn level(&self) -> ShedLevel {
        self.level
    }

    fn close_window(&mut self) {
        for (rate, offered) in self.rates.iter_mut().zip(&mut self.offered) {
            *rate += WINDOW_WEIGHT * (f64::from(std::mem::take(offered)) - *rate);
        }
        for (importance, share) in Importance::ALL.into_iter().zip(&mut self.admitted_shares) {
            *share += WINDOW_WEIGHT * (self.level.admitted_fraction(importance) - *share);
        }
    }

    /// Slots that the calls of one importance would use, had all been let through.
    fn demand(&self, importance: Importance) -> f64 {
        let ranks = importance.index() * 2..importance.index() * 2 + 2;
        let used: f64 = ranks.map(|rank| self.rates[rank] * self.service_times[rank]).sum();
        let share = self.admitted_shares[importance.index()].max(MIN_ADMITTED_SHARE);
        used / WINDOW.as_secs_f64() / share
    }

    fn level_for(&self, capacity: f64) -> ShedLevel {
        let mut remaining = capacity;
        for importance in Importance::ALL.into_iter().rev() {
            let demand = self.demand(importance);
            if demand > remaining {
                let admitted = (remaining / demand).max(0.0);
                return ShedLevel::from_levels(importance.index() as f64 + 1.0 - admitted);
            }
            remaining -= demand;
        }
        ShedLevel::OPEN
    }
}
