//! Noticing that the host was suspended.

use std::time::Duration;

/// A shorter gap between two clocks is their reading, or a host that was busy.
const MIN_SUSPENSION: Duration = Duration::from_millis(500);

/// Notices that the host was suspended since the last look.
#[derive(Clone, Copy, Debug, Default)]
pub struct SuspensionDetector {
    /// How long it had been suspended in all at the last suspension noticed.
    reported: Duration,
}

impl SuspensionDetector {
    /// `suspended` is how long the host has been suspended in all; returns how much of it is new, if it is worth mention.
    pub fn detect(&mut self, suspended: Duration) -> Option<Duration> {
        let new = suspended.saturating_sub(self.reported);
        if new < MIN_SUSPENSION {
            return None;
        }
        self.reported = suspended;
        Some(new)
    }
}
