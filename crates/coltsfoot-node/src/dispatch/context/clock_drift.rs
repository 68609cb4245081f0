//! When clocks that disagree are reported.

use std::{cell::Cell, time::Duration};

use coltsfootroute::time::MonotonicTime;

/// Shortest time between two lines about clocks that disagree: each call may bring one.
const MIN_REPORT_INTERVAL: Duration = Duration::from_secs(60);

/// When clocks that disagree were last reported.
#[derive(Default)]
pub struct DriftReportLimiter(Cell<Option<MonotonicTime>>);

impl DriftReportLimiter {
    /// Whether a report is due now; if so, it counts as made.
    pub(super) fn is_due(&self, now: MonotonicTime) -> bool {
        let due = self.0.get().is_none_or(|last| now.since(last) >= MIN_REPORT_INTERVAL);
        if due {
            self.0.set(Some(now));
        }
        due
    }
}
