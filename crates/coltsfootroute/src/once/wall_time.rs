//! Wall-clock time in records.

use std::time::Duration;

value_type! {
    /// Milliseconds since the Unix epoch, by the clock of the node that wrote the record. Only the
    /// retention depends on it: with a wrong clock keys are refused too early or too late, but no request
    /// runs twice.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(transparent)]
    pub struct WallTime(pub u64);
}

impl WallTime {
    /// Returns the time `duration` later.
    pub fn after(self, duration: Duration) -> Self {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }
}
