//! Stamp of the hybrid logical clock.

use std::{fmt, str::FromStr};

value_type! {
    /// Stamp of the hybrid logical clock, ordered by wall time, then by counter.
    ///
    /// Formatted as `{wall_ms}.{counter}`.
    #[derive(Default, serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct HybridStamp {
        /// Highest wall time that the process has seen, its own or in a message, in milliseconds since the Unix epoch.
        pub wall_ms: u64,
        /// Counter that orders the events within one `wall_ms`.
        pub counter: u32,
    }
}

impl HybridStamp {
    /// Creates the stamp with the given wall time and counter.
    pub fn new(wall_ms: u64, counter: u32) -> Self {
        Self { wall_ms, counter }
    }

    /// Returns the next higher stamp: the next counter at the same wall time, or the next millisecond if the counter
    /// overflows.
    pub(super) fn next(self) -> Self {
        match self.counter.checked_add(1) {
            Some(counter) => Self { counter, ..self },
            None => Self::new(self.wall_ms.saturating_add(1), 0),
        }
    }
}

impl fmt::Display for HybridStamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.wall_ms, self.counter)
    }
}

impl FromStr for HybridStamp {
    type Err = MalformedStamp;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || MalformedStamp(text.to_owned());
        let (wall_ms, counter) = text.split_once('.').ok_or_else(malformed)?;
        let wall_ms = wall_ms.parse().map_err(|_| malformed())?;
        let counter = counter.parse().map_err(|_| malformed())?;
        Ok(Self { wall_ms, counter })
    }
}

/// Error for a text that isn't a stamp.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed stamp `{0}`: expected `milliseconds.counter`")]
pub struct MalformedStamp(pub String);
