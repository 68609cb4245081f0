//! Call that requests admission.

use crate::{importance::Importance, time::MonotonicTime};

value_type! {
    /// Call offered to the gate.
    pub struct WaitingCall {
        /// Identifier of the call; unique among the calls that wait or run at the gate.
        pub id: u64,
        /// Importance of the client request that causes the call.
        pub importance: Importance,
        /// Time at which the caller stops waiting.
        pub deadline: MonotonicTime,
        /// Hash of the client, by which calls of the same importance are scheduled fairly.
        pub client: u64,
        /// Time at which the client request that causes the call entered, as far as it is known.
        pub entered: MonotonicTime,
        /// Whether the call is nested: part of the client request has already run.
        pub under_way: bool,
    }
}

/// Number of ranks: two for each importance, for calls from clients and for nested calls.
pub(super) const RANKS: usize = crate::importance::Importance::COUNT * 2;

impl WaitingCall {
    /// Returns the service priority: by importance, then nested calls before others. Calls are evicted
    /// in the reverse order.
    pub(super) fn rank(&self) -> usize {
        self.importance.index() * 2 + usize::from(self.under_way)
    }
}
