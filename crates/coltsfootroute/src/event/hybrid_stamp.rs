//! Stamp of the hybrid logical clock.

use std::{fmt, str::FromStr};

value_type! {
    /// A point of the hybrid logical clock: ordered by wall time, then by counter.
    ///
    /// Shown as `{wall_ms}.{counter}`.
    #[derive(Default, serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct HybridStamp {
        /// Milliseconds since the Unix epoch: the highest wall time that the process has seen, its own or
        /// in a message.
        pub wall_ms: u64,
        /// Orders the events within one `wall_ms`.
        pub counter: u32,
    }
}

impl HybridStamp {
    /// The stamp `counter` steps into `wall_ms`.
    pub fn new(wall_ms: u64, counter: u32) -> Self {
        Self { wall_ms, counter }
    }

    /// The next higher stamp at the same wall time.
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

/// The text is no stamp.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed stamp `{0}`: expected `milliseconds.counter`")]
pub struct MalformedStamp(pub String);
