//! What a concurrency limit learns from the end of a call.

use std::time::Duration;

use super::CallFinish;

value_type! {
    /// One finished call as a concurrency limit sees it.
    pub struct FinishSample {
        /// How the call ended.
        pub finish: CallFinish,
        /// Time from dispatch to end, without the wait in the guard's queue.
        pub service_time: Duration,
        /// Calls in flight just before the end, this one included.
        pub in_flight: u32,
    }
}
