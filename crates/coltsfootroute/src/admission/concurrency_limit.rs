//! Limit on the calls in flight to one upstream.

use super::FinishSample;
use crate::time::MonotonicTime;

/// A limit on concurrency that adapts to how calls end.
pub trait ConcurrencyLimit {
    /// Calls that may be in flight now; at least 1 and at most the ceiling.
    fn limit(&self) -> u32;

    /// Takes in the end of a call.
    fn on_finish(&mut self, now: MonotonicTime, sample: &FinishSample);

    /// Sets the ceiling: the slots that the upstream declares, at least 1.
    fn set_ceiling(&mut self, slots: u32);
}
