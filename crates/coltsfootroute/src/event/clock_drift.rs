//! Error for a stamp too far ahead of the wall clock.

use super::HybridStamp;

/// Error for a message whose stamp is further ahead of the local wall clock than the drift limit allows. The stamp was
/// rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("stamp {stamp} is {ahead_ms} ms ahead of the wall clock")]
pub struct ClockDrift {
    /// Rejected stamp.
    pub stamp: HybridStamp,
    /// Distance of the stamp ahead of the wall clock, in milliseconds.
    pub ahead_ms: u64,
}
