//! A stamp too far ahead.

use super::HybridStamp;

/// A message's stamp lies further ahead of the own wall clock than the clock follows. It was not taken
/// over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("stamp {stamp} is {ahead_ms} ms ahead of the wall clock")]
pub struct ClockDrift {
    /// The stamp refused.
    pub stamp: HybridStamp,
    /// How far it is ahead, in milliseconds.
    pub ahead_ms: u64,
}
