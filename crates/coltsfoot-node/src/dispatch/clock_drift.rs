//! Taking over the stamps of other nodes' messages.

use std::{cell::Cell, time::Duration};

use coltsfootroute::{event::HybridStamp, time::MonotonicTime};

use super::dispatcher::Dispatcher;
use crate::journal::LOG_TARGET;

/// Shortest time between two lines about clocks that disagree: each call may bring one.
const REPORT_PERIOD: Duration = Duration::from_secs(60);

/// When clocks that disagree were last reported.
#[derive(Default)]
pub struct DriftReport(Cell<Option<MonotonicTime>>);

impl DriftReport {
    fn is_due(&self, now: MonotonicTime) -> bool {
        let due = self.0.get().is_none_or(|last| now.since(last) >= REPORT_PERIOD);
        if due {
            self.0.set(Some(now));
        }
        due
    }
}

impl Dispatcher {
    /// Takes over the stamp of a message, so that what it causes here is ordered after it.
    pub(super) fn observe(&self, stamp: HybridStamp) {
        let Err(drift) = self.events.observe(stamp) else { return };
        if self.drift.is_due(self.clock.now()) {
            let (stamp, ahead_ms) = (drift.stamp, drift.ahead_ms);
            log::warn!(target: LOG_TARGET, "event=clock-drift stamp={stamp} ahead_ms={ahead_ms}");
        }
    }
}
