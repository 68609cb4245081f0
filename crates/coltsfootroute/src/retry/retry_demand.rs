//! What retries of each importance are requested for, against what they get.

use std::time::Duration;

use super::{demand_rate::DemandRate, recent_calls::RecentCalls};
use crate::{importance::Importance, time::MonotonicTime};

/// Counts retries requested and granted by importance, and says how many to keep back for more important ones.
///
/// A retry of a lower importance that is granted now is missing for a higher one later in the same window, so what the
/// higher ones ask for of late is set aside for a whole window, less what they have had of it.
#[derive(Clone, Debug)]
pub(super) struct RetryDemand {
    window: Duration,
    requested: [DemandRate; Importance::COUNT],
    granted: [RecentCalls; Importance::COUNT],
}

impl RetryDemand {
    /// A count for a window of so many seconds.
    pub fn new(seconds: u64) -> Self {
        Self {
            window: Duration::from_secs(seconds),
            requested: [DemandRate::default(); Importance::COUNT],
            granted: std::array::from_fn(|_| RecentCalls::new(seconds)),
        }
    }

    /// Counts a requested retry.
    pub fn record_request(&mut self, now: MonotonicTime, importance: Importance) {
        self.requested[importance.index()].record(now);
    }

    /// Counts a retry that is granted.
    pub fn record_grant(&mut self, now: MonotonicTime, importance: Importance) {
        self.granted[importance.index()].count(now);
    }

    /// Takes back a retry that was granted and did not happen.
    pub fn refund(&mut self, now: MonotonicTime, importance: Importance) {
        self.granted[importance.index()].uncount(now);
    }

    /// Retries to keep back for what is above `importance`.
    pub fn reserved_above(&mut self, now: MonotonicTime, importance: Importance) -> u64 {
        let mut reserved: u64 = 0;
        for index in importance.index() + 1..Importance::COUNT {
            let wanted = self.requested[index].expected(now, self.window);
            let granted = self.granted[index].total(now);
            reserved = reserved.saturating_add(wanted.saturating_sub(granted));
        }
        reserved
    }
}
