//! Measurements of a finished call, as input to a concurrency limit.

use std::time::Duration;

use super::CallFinish;

value_type! {
    /// Result, duration and concurrency of one finished call.
    pub struct FinishSample {
        /// Result of the call.
        pub finish: CallFinish,
        /// Time from dispatch to the end of the call, without the wait in the guard's queue.
        pub service_time: Duration,
        /// Calls in flight just before this one ended, including this one.
        pub in_flight: u32,
    }
}
