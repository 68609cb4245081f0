//! Controller of a guard's shed level, driven by demand and capacity.

use std::time::Duration;

use super::{ShedLevel, waiting_call::RANKS};
use crate::{importance::Importance, time::MonotonicTime};

/// Length of one observation window.
const WINDOW: Duration = Duration::from_millis(100);
/// Weight of the latest window in the averages, which follow half of a change after about 0.4 s.
const WINDOW_WEIGHT: f64 = 0.15;
/// Weight of the latest call in the mean service time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;
/// Share of the usable slots up to which demand is admitted; above it queues grow without bound.
const TARGET_UTILIZATION: f64 = 0.97;
/// Lowest admitted share by which the measured load is divided. Below it too few calls arrive to estimate the demand.
const MIN_ADMITTED_SHARE: f64 = 0.05;
/// Largest number of ended windows that are averaged one by one; after more windows without a call the demand is
/// negligible.
const MAX_REPLAYED_WINDOWS: u64 = 50;

/// Derives a [`ShedLevel`] from the demand of the callers and the capacity.
///
/// The demand of each importance, in slots, is its call rate times the mean service time (or the call rate alone, if the
/// capacity is a rate), divided by the share of requests that the level admits at the root. The level admits all work of the highest
/// importances whose demand fits into the slots, the share of the next importance that still fits, and
/// nothing below.
#[derive(Clone, Debug)]
pub(super) struct DemandControl {
    window_start: MonotonicTime,
    /// Calls offered in the current window.
    offered: [u32; RANKS],
    /// Average number of calls offered in a window.
    rates: [f64; RANKS],
    /// Mean service time of each rank in seconds; 0 before the first call.
    service_times: [f64; RANKS],
    /// Share of each importance that the level admitted, averaged like the rates.
    admitted_shares: [f64; Importance::COUNT],
    level: ShedLevel,
}

impl DemandControl {
    /// Creates a controller without observations and with an open level.
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

    /// Creates a controller whose capacity is in calls per second, whatever their service times.
    pub fn per_second() -> Self {
        Self { service_times: [1.0; RANKS], ..Self::new() }
    }

    /// Counts an offered call.
    pub fn on_offer(&mut self, rank: usize) {
        self.offered[rank] += 1;
    }

    /// Records the service time of a finished call.
    pub fn on_finish(&mut self, rank: usize, service_time: Duration) {
        let sample = service_time.as_secs_f64();
        let time = &mut self.service_times[rank];
        *time = if *time == 0.0 { sample } else { *time + SERVICE_TIME_WEIGHT * (sample - *time) };
    }

    /// Closes the windows that have ended by `now`; `capacity` is in concurrent calls, or in calls per second.
    pub fn advance(&mut self, now: MonotonicTime, capacity: f64) {
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
        self.level = self.level_for(capacity * TARGET_UTILIZATION);
    }

    /// Returns the current level.
    pub fn level(&self) -> ShedLevel {
        self.level
    }

    /// Returns the ratio of the demand to `capacity`.
    pub fn load(&self, capacity: f64) -> f64 {
        Importance::ALL.into_iter().map(|importance| self.demand(importance)).sum::<f64>()
            / capacity
    }

    fn close_window(&mut self) {
        for (rate, offered) in self.rates.iter_mut().zip(&mut self.offered) {
            *rate += WINDOW_WEIGHT * (f64::from(std::mem::take(offered)) - *rate);
        }
        for (importance, share) in Importance::ALL.into_iter().zip(&mut self.admitted_shares) {
            *share += WINDOW_WEIGHT * (self.level.admitted_fraction(importance) - *share);
        }
    }

    /// Returns the number of slots that the calls of one importance would use if all were admitted.
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
