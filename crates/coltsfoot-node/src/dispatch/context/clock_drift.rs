//! Rate limit for reports of clock drift between nodes.

use std::{cell::Cell, time::Duration};

use coltsfootroute::time::MonotonicTime;

/// Shortest time between two log lines about clock drift, which each call might cause otherwise.
const MIN_REPORT_INTERVAL: Duration = Duration::from_secs(60);

/// Limits the rate of clock drift reports; holds the time of the last one.
#[derive(Default)]
pub struct DriftReportLimiter(Cell<Option<MonotonicTime>>);

impl DriftReportLimiter {
    /// Returns whether a report is due at `now`, and if so records it as made.
    pub(super) fn is_due(&self, now: MonotonicTime) -> bool {
        let due = self.0.get().is_none_or(|last| now.since(last) >= MIN_REPORT_INTERVAL);
        if due {
            self.0.set(Some(now));
        }
        due
    }
}
