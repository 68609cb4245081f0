//! Share of a team's requests that a node has recently admitted at entry.

use std::time::Duration;

use crate::time::MonotonicTime;

/// Time constant of the share. The owner's average is slower for rates below 8 a second: after a change of level the
/// corrected usage of such a team is wrong for that long.
const SHARE_WINDOW: Duration = Duration::from_secs(1);
/// Smallest share, so that a reported usage is corrected by a bounded factor.
const MIN_SHARE: f64 = 0.05;

/// Share of a team's requests that a node has recently admitted at entry, by probability.
#[derive(Clone, Copy, Debug)]
pub(super) struct AdmittedShare {
    /// Recent requests, with exponential decay.
    offered: f64,
    /// Sum of their probabilities of admission, with the same decay; at most `offered`.
    admitted: f64,
    recorded_at: MonotonicTime,
}

impl AdmittedShare {
    /// Creates a share without requests, which counts as 1.
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self { offered: 0.0, admitted: 0.0, recorded_at: now }
    }

    /// Records a request that was admitted with `probability`.
    pub(super) fn record(&mut self, now: MonotonicTime, probability: f64) {
        let decay = (-now.since(self.recorded_at).div_duration_f64(SHARE_WINDOW)).exp();
        self.offered = self.offered * decay + 1.0;
        // `max` also replaces a value that is not a number.
        self.admitted = self.admitted * decay + probability.max(0.0);
        self.recorded_at = now;
    }

    /// Returns the share as of the last request, between `MIN_SHARE` and 1.
    pub(super) fn share(&self) -> f64 {
        if self.offered <= 0.0 {
            return 1.0;
        }
        (self.admitted / self.offered).clamp(MIN_SHARE, 1.0)
    }
}
