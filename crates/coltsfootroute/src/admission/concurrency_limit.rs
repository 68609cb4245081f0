//! Interface of limits on the calls in flight to one upstream.

use super::FinishSample;
use crate::time::MonotonicTime;

/// Concurrency limit that adapts to the results of calls.
pub trait ConcurrencyLimit {
    /// Returns the largest number of calls that may be in flight now, between 1 and the ceiling.
    fn limit(&self) -> u32;

    /// Updates the limit after the end of a call.
    fn on_finish(&mut self, now: MonotonicTime, sample: &FinishSample);

    /// Sets the ceiling to the number of slots that the upstream declares, at least 1.
    fn set_ceiling(&mut self, slots: u32);
}
