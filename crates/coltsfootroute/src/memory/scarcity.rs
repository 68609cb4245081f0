//! Whether a resource was short a moment ago.

use std::time::Duration;

use crate::time::MonotonicTime;

/// Time for which a resource counts as scarce after it was short: a client that was told to come back is back by then.
const SCARCE_TIME: Duration = Duration::from_secs(5);
/// Shortest time between two announcements to those who hold the resource.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(500);

/// Whether a resource was short a moment ago. Whoever holds it without using it then has less patience shown to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Scarcity {
    /// Last time at which the resource was short.
    seen: Option<MonotonicTime>,
    /// Last time at which its holders were told.
    announced: Option<MonotonicTime>,
}

impl Scarcity {
    /// Records that the resource is short; returns whether its holders are to be told now.
    pub fn record(&mut self, now: MonotonicTime) -> bool {
        self.seen = Some(now);
        let is_due = self.announced.is_none_or(|last| now.since(last) >= ANNOUNCE_PERIOD);
        if is_due {
            self.announced = Some(now);
        }
        is_due
    }

    /// Returns whether the resource was short a moment ago.
    pub fn lasts(&self, now: MonotonicTime) -> bool {
        self.seen.is_some_and(|last| now.since(last) < SCARCE_TIME)
    }
}
