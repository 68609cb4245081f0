//! Noticing that the host was suspended.

use std::time::Duration;

/// A shorter gap between two clocks is their reading, or a host that was busy.
const LEAST_SUSPENSION: Duration = Duration::from_millis(500);

/// Notices that the host was suspended since the last look.
#[derive(Clone, Copy, Debug, Default)]
pub struct SuspensionWatch {
    /// How long it had been suspended in all at the last suspension noticed.
    seen: Duration,
}

impl SuspensionWatch {
    /// `suspended` is how long the host has been suspended in all; returns how much of it is new, if it is worth mention.
    pub fn look(&mut self, suspended: Duration) -> Option<Duration> {
        let new = suspended.saturating_sub(self.seen);
        if new < LEAST_SUSPENSION {
            return None;
        }
        self.seen = suspended;
        Some(new)
    }
}
