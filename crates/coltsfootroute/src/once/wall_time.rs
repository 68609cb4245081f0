//! Wall-clock time in records.

use std::time::Duration;

value_type! {
    /// Milliseconds since the Unix epoch, by the clock of the node that wrote them. Only the retention
    /// depends on it: a clock that is wrong refuses keys earlier or later, and runs nothing twice.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(transparent)]
    pub struct WallTime(pub u64);
}

impl WallTime {
    /// The time `duration` later.
    pub fn after(self, duration: Duration) -> Self {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }
}
