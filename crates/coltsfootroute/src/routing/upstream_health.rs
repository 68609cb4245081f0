//! Failure count, ejection and trials of an upstream.

use std::time::Duration;

use super::RoutingSettings;
use crate::time::MonotonicTime;

/// Failure and ejection state of an upstream.
///
/// Invariant: `trials_passed` is above 0 only while `ejected_until` is set.
#[derive(Clone, Debug, Default)]
pub(super) struct UpstreamHealth {
    failures_in_row: u32,
    ejected_until: Option<MonotonicTime>,
    ejections_in_row: u32,
    trials_passed: u32,
}

impl UpstreamHealth {
    /// Returns whether the upstream is ejected; an upstream on trial still is.
    pub(super) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Returns whether the ejection time is over, so that trial calls decide whether the upstream returns.
    pub(super) fn is_on_trial(&self, now: MonotonicTime) -> bool {
        self.ejected_until.is_some_and(|until| until <= now)
    }

    /// Returns the number of failures since the last success.
    pub(super) fn failures_in_row(&self) -> u32 {
        self.failures_in_row
    }

    /// Records a success and returns whether it ends the ejection.
    pub(super) fn succeeded(&mut self, now: MonotonicTime, settings: &RoutingSettings) -> bool {
        self.failures_in_row = 0;
        if !self.is_on_trial(now) {
            return false;
        }
        self.trials_passed += 1;
        if self.trials_passed < settings.trials_to_return {
            return false;
        }
        *self = Self::default();
        true
    }

    /// Records a failure. A failed trial ejects the upstream again, for longer up to the limit.
    pub(super) fn failed(&mut self, now: MonotonicTime, settings: &RoutingSettings) {
        self.failures_in_row = self.failures_in_row.saturating_add(1);
        if self.is_on_trial(now) {
            self.eject(now, settings);
        }
    }

    /// Ejects the upstream from `now` on.
    pub(super) fn eject(&mut self, now: MonotonicTime, settings: &RoutingSettings) {
        self.ejected_until = Some(now + self.next_ejection(settings));
        self.ejections_in_row = self.ejections_in_row.saturating_add(1);
        self.trials_passed = 0;
    }

    fn next_ejection(&self, settings: &RoutingSettings) -> Duration {
        let doublings = self.ejections_in_row.min(MAX_DOUBLINGS);
        settings.initial_ejection.saturating_mul(1 << doublings).min(settings.max_ejection)
    }
}

/// Maximum number of times that the ejection time is doubled; keeps the factor within 32 bits.
const MAX_DOUBLINGS: u32 = 16;
