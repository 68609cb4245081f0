//! Sliding window that bounds retries to a share of the calls.

use std::time::Duration;

use super::{
    ThrottleSettings,
    recent_calls::{RecentCalls, THOUSANDTHS_PER_RETRY},
    retry_demand::RetryDemand,
};
use crate::{importance::Importance, time::MonotonicTime};

/// Number of seconds by which the count of retries reaches further back than the window of calls. Both are counted in
/// whole seconds, and no window may spend more than its own calls earned.
const EXTRA_SPENT_SECONDS: u64 = 1;

/// Grants retries up to the number that the calls of a window earn, more important ones first.
///
/// The window that counts is the last one or the one before it, whichever has more calls: when a service fails, its
/// callers abort early and make fewer calls, exactly when retries are needed. For two windows after guards of the
/// service joined, left or restarted, the mean of both windows counts instead: calls have moved between guards, and the
/// larger window of each guard would add up to nearly both windows of the service.
///
/// Invariant: in any span of the window's length, at most as many retries are granted as the calls of that span or of
/// the window before it earn, or the burst if that is more. This also holds for the sum over all guards of the service.
#[derive(Clone, Debug)]
pub(super) struct RetryWindow {
    settings: ThrottleSettings,
    /// Calls of the last two windows.
    calls: RecentCalls,
    /// Granted retries and unavoidable repeats.
    spent: RecentCalls,
    demand: RetryDemand,
    /// Time at which another guard of the service last joined, left or restarted; `None` if that never happened.
    guard_change: Option<MonotonicTime>,
}

impl RetryWindow {
    /// Creates a window without calls.
    pub fn new(settings: ThrottleSettings) -> Self {
        let calls = RecentCalls::new(settings.window_seconds * 2);
        let spent = RecentCalls::new(settings.window_seconds + EXTRA_SPENT_SECONDS);
        let demand = RetryDemand::new(settings.window_seconds);
        Self { settings, calls, spent, demand, guard_change: None }
    }

    /// Records that another guard of the service has joined, left or restarted.
    pub fn record_guard_change(&mut self, now: MonotonicTime) {
        self.guard_change = Some(now);
    }

    /// Records a first attempt to the service.
    pub fn record_call(&mut self, now: MonotonicTime) {
        self.calls.count(now);
    }

    /// Grants and counts one retry if the window allows it; returns whether it was granted.
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

    /// Refunds a granted retry that was not sent.
    pub fn refund(&mut self, now: MonotonicTime, importance: Importance) {
        self.spent.remove(now);
        self.demand.refund(now, importance);
    }

    /// Charges the window for an unavoidable repeat.
    pub fn charge(&mut self, now: MonotonicTime) {
        self.spent.count(now);
    }

    /// Returns what the calls have earned, at least the burst, in thousandths of a retry.
    fn earned(&mut self, now: MonotonicTime) -> u64 {
        let newest = self.calls.newest(now, self.settings.window_seconds);
        let previous = self.calls.total(now) - newest;
        let moved = self.may_calls_have_moved(now);
        let earning = if moved { (newest + previous) / 2 } else { newest.max(previous) };
        let earned = earning.saturating_mul(self.settings.per_call_thousandths);
        earned.max(self.settings.burst.saturating_mul(THOUSANDTHS_PER_RETRY))
    }

    /// Returns whether calls of the last two windows may have moved from one guard to another.
    fn may_calls_have_moved(&self, now: MonotonicTime) -> bool {
        let windows = Duration::from_secs(self.settings.window_seconds * 2);
        self.guard_change.is_some_and(|change| now < change + windows)
    }
}
