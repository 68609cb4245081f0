//! Detection of suspensions of the host.

use std::time::Duration;

/// Shortest suspension that is reported. A smaller difference between two clocks may come from reading them one after
/// the other, or from a busy host.
const MIN_SUSPENSION: Duration = Duration::from_millis(500);

/// Detects that the host was suspended since the last reported suspension.
#[derive(Clone, Copy, Debug, Default)]
pub struct SuspensionDetector {
    /// Total suspended time of the host at the last reported suspension.
    reported: Duration,
}

impl SuspensionDetector {
    /// Takes the total time that the host has been suspended. Returns the part since the last reported suspension, or
    /// `None` if it is below the shortest reported one.
    pub fn detect(&mut self, suspended: Duration) -> Option<Duration> {
        let new = suspended.saturating_sub(self.reported);
        if new < MIN_SUSPENSION {
            return None;
        }
        self.reported = suspended;
        Some(new)
    }
}
