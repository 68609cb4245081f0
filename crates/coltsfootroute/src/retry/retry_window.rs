//! Bound on retries by the calls of a sliding window.

use std::time::Duration;

use super::{
    ThrottleSettings,
    recent_calls::{RecentCalls, THOUSANDTHS_PER_RETRY},
    retry_demand::RetryDemand,
};
use crate::{importance::Importance, time::MonotonicTime};

/// Seconds that the count of retries reaches further back than that of calls: both are counted by whole seconds, and
/// in no window may more be spent than its own calls have earned.
const EXTRA_SPENT_SECONDS: u64 = 1;

/// Grants retries as long as those of the last seconds are fewer than the calls of a window earn, the more important first.
///
/// The window is the last one or the one before it, whichever had more calls: where a service fails, work above it
/// ends early and makes fewer calls, just when repeats are needed. Where guards of the service have come or gone of late
/// it is the mean of both: calls have moved from one to another, and the larger window of each would add up to nearly
/// both windows of the service.
///
/// Invariant: in any span as long as the window at most what its calls or those of the window before it earn is
/// granted, or the burst where that is more; that holds for the sum over all guards of the service, too.
#[derive(Clone, Debug)]
pub(super) struct RetryWindow {
    settings: ThrottleSettings,
    /// Two windows of calls.
    calls: RecentCalls,
    /// Retries granted, and repeats that could not be helped.
    spent: RecentCalls,
    demand: RetryDemand,
    /// When a guard of the service last came, went or began anew.
    guard_change: Option<MonotonicTime>,
}

impl RetryWindow {
    /// A window that has seen nothing.
    pub fn new(settings: ThrottleSettings) -> Self {
        let calls = RecentCalls::new(settings.window_seconds * 2);
        let spent = RecentCalls::new(settings.window_seconds + EXTRA_SPENT_SECONDS);
        let demand = RetryDemand::new(settings.window_seconds);
        Self { settings, calls, spent, demand, guard_change: None }
    }

    /// Another guard of the service has come, gone or begun anew.
    pub fn record_guard_change(&mut self, now: MonotonicTime) {
        self.guard_change = Some(now);
    }

    /// Counts a first attempt into the service.
    pub fn record_call(&mut self, now: MonotonicTime) {
        self.calls.count(now);
    }

    /// Whether the service bears one more retry now; if so, it is counted.
    pub fn try_retry(&mut self, now: MonotonicTime, importance: Importance) -> bool {
        self.demand.record_request(now, importance);
        let reserved = self.demand.reserved_above(now, importance);
        let needed = self.spent.total(now).saturating_add(reserved).saturating_add(1);
        let is_granted = needed.saturating_mul(THOUSANDTHS_PER_RETRY) <= self.earned(now);
        if is_granted {
            self.spent.count(now);
            self.demand.record_grant(now, importance);
        }
        is_granted
    }

    /// Takes back a retry that was granted and did not happen.
    pub fn refund(&mut self, now: MonotonicTime, importance: Importance) {
        self.spent.uncount(now);
        self.demand.refund(now, importance);
    }

    /// Counts a repeat that could not be helped.
    pub fn charge(&mut self, now: MonotonicTime) {
        self.spent.count(now);
    }

    /// Thousandths of a retry.
    fn earned(&mut self, now: MonotonicTime) -> u64 {
        let newest = self.calls.newest(now, self.settings.window_seconds);
        let before = self.calls.total(now) - newest;
        let moved = self.may_calls_have_moved(now);
        let earning = if moved { (newest + before) / 2 } else { newest.max(before) };
        let earned = earning.saturating_mul(self.settings.per_call_thousandths);
        earned.max(self.settings.burst.saturating_mul(THOUSANDTHS_PER_RETRY))
    }

    /// Whether calls of the last two windows may have moved from one guard to another.
    fn may_calls_have_moved(&self, now: MonotonicTime) -> bool {
        let windows = Duration::from_secs(self.settings.window_seconds * 2);
        self.guard_change.is_some_and(|change| now < change + windows)
    }
}
