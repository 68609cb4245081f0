//! Requested and granted retries by importance.

use std::time::Duration;

use super::{demand_rate::DemandRate, recent_calls::RecentCalls};
use crate::{importance::Importance, time::MonotonicTime};

/// Counts requested and granted retries by importance and computes how many to reserve for higher importances.
///
/// A retry that is granted to a lower importance is no longer available to a higher one later in the same window.
/// Therefore the number of retries that higher importances would request in a whole window at their current rate, less
/// those already granted to them in the window, is reserved.
#[derive(Clone, Debug)]
pub(super) struct RetryDemand {
    window: Duration,
    requested: [DemandRate; Importance::COUNT],
    granted: [RecentCalls; Importance::COUNT],
}

impl RetryDemand {
    /// Creates counts for a window of `seconds`.
    pub fn new(seconds: u64) -> Self {
        Self {
            window: Duration::from_secs(seconds),
            requested: [DemandRate::default(); Importance::COUNT],
            granted: std::array::from_fn(|_| RecentCalls::new(seconds)),
        }
    }

    /// Records a requested retry.
    pub fn record_request(&mut self, now: MonotonicTime, importance: Importance) {
        self.requested[importance.index()].record(now);
    }

    /// Records a granted retry.
    pub fn record_grant(&mut self, now: MonotonicTime, importance: Importance) {
        self.granted[importance.index()].count(now);
    }

    /// Removes a granted retry that was not sent from the count.
    pub fn refund(&mut self, now: MonotonicTime, importance: Importance) {
        self.granted[importance.index()].remove(now);
    }

    /// Returns the number of retries to reserve for importances above `importance`.
    pub fn reserved_above(&mut self, now: MonotonicTime, importance: Importance) -> u64 {
        let mut reserved: u64 = 0;
        for index in importance.index() + 1..Importance::COUNT {
            let expected = self.requested[index].expected(now, self.window);
            let granted = self.granted[index].total(now);
            reserved = reserved.saturating_add(expected.saturating_sub(granted));
        }
        reserved
    }
}
