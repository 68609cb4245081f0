//! Ejection and trial of an upstream.

use std::time::Duration;

use super::RoutingSettings;
use crate::time::MonotonicTime;

/// Whether an upstream takes calls, as far as its failures go.
///
/// Invariant: `trials_passed` is only set while `ejected_until` is.
#[derive(Clone, Debug, Default)]
pub(super) struct UpstreamHealth {
    failures_in_row: u32,
    ejected_until: Option<MonotonicTime>,
    ejections_in_row: u32,
    trials_passed: u32,
}

impl UpstreamHealth {
    /// Whether it is ejected, trials included.
    pub(super) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Whether its ejection is over, so that trial calls decide on its return.
    pub(super) fn is_on_trial(&self, now: MonotonicTime) -> bool {
        self.ejected_until.is_some_and(|until| until <= now)
    }

    /// Failures since the last success.
    pub(super) fn failures_in_row(&self) -> u32 {
        self.failures_in_row
    }

    /// Counts a success; returns whether the upstream returns from its ejection.
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

    /// Counts a failure; a failed trial ejects again, for longer.
    pub(super) fn failed(&mut self, now: MonotonicTime, settings: &RoutingSettings) {
        self.failures_in_row = self.failures_in_row.saturating_add(1);
        if self.is_on_trial(now) {
            self.eject(now, settings);
        }
    }

    /// Ejects the upstream from now on.
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

/// Keeps the factor of an ejection within 32 bits.
const MAX_DOUBLINGS: u32 = 16;
