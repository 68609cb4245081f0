//! Load of an upstream, as its guard last reported it to this caller.

use std::time::Duration;

use super::UpstreamOccupancy;
use crate::time::MonotonicTime;

/// Age from which a report is ignored: most of the calls that it counted have ended by then.
const MAX_REPORT_AGE: Duration = Duration::from_millis(500);

/// Load of an upstream, as its guard last reported it to this caller.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedLoad {
    /// Calls of other callers at the guard, for each call that may run.
    others: f64,
    reported_at: MonotonicTime,
}

impl ReportedLoad {
    /// Creates the load from a report received at `now`, which includes the `own` calls of this caller that are still
    /// in flight to an upstream with `slots` slots. Where the guard lets fewer calls run than that, the load of the others
    /// counts as too high.
    pub fn new(now: MonotonicTime, occupancy: UpstreamOccupancy, own: u32, slots: u32) -> Self {
        let others = (occupancy.ratio() - ratio(own, slots)).max(0.0);
        Self { others, reported_at: now }
    }

    /// Returns the occupancy at `now`, with the `own` calls of this caller that are in flight now: many callers choose by
    /// reports of about the same age, so each has to count what it has sent since. `None` if the report is too old.
    pub fn occupancy(&self, now: MonotonicTime, own: u32, slots: u32) -> Option<f64> {
        let is_recent = now.since(self.reported_at) < MAX_REPORT_AGE;
        is_recent.then(|| self.others + ratio(own, slots))
    }
}

fn ratio(calls: u32, slots: u32) -> f64 {
    f64::from(calls) / f64::from(slots.max(1))
}
