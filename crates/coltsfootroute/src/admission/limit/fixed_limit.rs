//! Constant limit.

use crate::{
    admission::{ConcurrencyLimit, FinishSample},
    time::MonotonicTime,
};

value_type! {
    /// Limit that always equals the number of slots that the upstream declares.
    pub struct FixedLimit {
        slots: u32,
    }
}

impl FixedLimit {
    /// Creates a limit of `slots`, at least 1.
    pub fn new(slots: u32) -> Self {
        Self { slots: slots.max(1) }
    }
}

impl ConcurrencyLimit for FixedLimit {
    fn limit(&self) -> u32 {
        self.slots
    }

    fn on_finish(&mut self, _now: MonotonicTime, _sample: &FinishSample) {}

    fn set_ceiling(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }
}
