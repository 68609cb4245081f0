//! A call that asks to run.

use crate::{importance::Importance, time::MonotonicTime};

value_type! {
    /// A call as offered to the gate.
    pub struct WaitingCall {
        /// Number of the call; unique among the calls the gate holds.
        pub id: u64,
        /// Importance of the client request that causes the call.
        pub importance: Importance,
        /// When the caller stops waiting.
        pub deadline: MonotonicTime,
        /// Hash of the client; calls of one importance are shared out fairly between clients.
        pub client: u64,
        /// Whether work has been spent on the client request already: a nested call.
        pub under_way: bool,
    }
}

/// Number of ranks: two for each importance.
pub(super) const RANKS: usize = crate::importance::Importance::COUNT * 2;

impl WaitingCall {
    /// Order of service and, reversed, of eviction: importance first, then work under way.
    pub(super) fn rank(&self) -> usize {
        self.importance.index() * 2 + usize::from(self.under_way)
    }
}
