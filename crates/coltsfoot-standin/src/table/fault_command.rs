//! Faults that a test asks for.

use serde::{Deserialize, Serialize};

/// What the stand-in does to requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultMode {
    /// Serves.
    #[default]
    Up,
    /// Refuses with 503 and carries out nothing.
    Down,
    /// Carries out a request only after a delay, also when the caller has gone meanwhile.
    Slow,
    /// Carries out a request only after the next command, also when the caller has gone meanwhile.
    Held,
    /// Carries out writes, then answers 504 as a gateway that lost the answer would.
    AckLost,
}

/// A command to the stand-in: a fault, for a number of requests or a time, and its rates.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct FaultCommand {
    /// The fault.
    pub mode: FaultMode,
    /// Delay of [`FaultMode::Slow`], in milliseconds.
    pub ms: u64,
    /// Requests that the fault meets; without a bound where absent.
    pub count: Option<u64>,
    /// Time that the fault lasts, in milliseconds; without a bound where absent.
    pub for_ms: Option<u64>,
    /// New limit on writes a second; unchanged where absent.
    pub writes_per_s: Option<f64>,
    /// New limit on reads a second; unchanged where absent.
    pub reads_per_s: Option<f64>,
}

impl FaultCommand {
    /// The fault `mode`, without bounds.
    pub fn new(mode: FaultMode) -> Self {
        Self { mode, ..Self::default() }
    }

    /// Delays requests by `ms` milliseconds.
    pub fn slow(ms: u64) -> Self {
        Self { ms, ..Self::new(FaultMode::Slow) }
    }

    /// Bounds the fault to the next `count` requests.
    pub fn with_count(mut self, count: u64) -> Self {
        self.count = Some(count);
        self
    }
}
