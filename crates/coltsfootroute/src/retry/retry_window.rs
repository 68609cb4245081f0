//! Bound on retries by the calls of a sliding window.

use super::{
    ThrottleSettings,
    recent_calls::{RecentCalls, WHOLE},
};
use crate::time::MonotonicTime;

/// Seconds that the count of retries reaches further back than that of calls: both are counted by whole seconds, and
/// in no window may more be spent than its own calls have earned.
const MARGIN_SECONDS: u64 = 1;

/// Grants retries as long as those of the last seconds are fewer than the calls of the last seconds earn.
///
/// Invariant: in any span as long as the window at most what its calls earn is granted, or the burst where that is
/// more. What calm seconds have earned is there for the window that follows them, and no longer.
#[derive(Clone, Debug)]
pub(super) struct RetryWindow {
    settings: ThrottleSettings,
    calls: RecentCalls,
    /// Retries granted, and repeats that could not be helped.
    spent: RecentCalls,
}

impl RetryWindow {
    /// A window that has seen nothing.
    pub fn new(settings: ThrottleSettings) -> Self {
        let calls = RecentCalls::new(settings.saving_seconds);
        let spent = RecentCalls::new(settings.saving_seconds + MARGIN_SECONDS);
        Self { settings, calls, spent }
    }

    /// Counts a first attempt into the service.
    pub fn call(&mut self, now: MonotonicTime) {
        self.calls.count(now);
    }

    /// Whether the service bears one more retry now; if so, it is counted.
    pub fn try_retry(&mut self, now: MonotonicTime) -> bool {
        let spent = self.spent.total(now).saturating_add(1);
        let is_granted = spent.saturating_mul(WHOLE) <= self.earned(now);
        if is_granted {
            self.spent.count(now);
        }
        is_granted
    }

    /// Takes back a retry that was granted and did not happen.
    pub fn give_back(&mut self, now: MonotonicTime) {
        self.spent.take_back(now);
    }

    /// Counts a repeat that could not be helped.
    pub fn charge(&mut self, now: MonotonicTime) {
        self.spent.count(now);
    }

    /// Thousandths of a retry.
    fn earned(&mut self, now: MonotonicTime) -> u64 {
        let earned = self.calls.total(now).saturating_mul(self.settings.per_call_thousandths);
        earned.max(self.settings.burst.saturating_mul(WHOLE))
    }
}
