//! An attempt that did not succeed.

use std::time::Duration;

use crate::{
    outcome::{CallOutcome, RefusalReason},
    time::MonotonicTime,
};

record_type! {
    /// What a caller knows when an attempt of a call has failed.
    pub struct FailedAttempt {
        /// Whether the attempt ran.
        pub outcome: CallOutcome,
        /// Reason of the refusal, if it was one.
        pub reason: Option<RefusalReason>,
        /// Whether the operation may be repeated.
        pub repeatable: bool,
        /// Whether it failed for a nested call that was not served, after all attempts made for that one.
        pub failed_below: bool,
        /// Deadline of the call on this node's clock.
        pub deadline: MonotonicTime,
        /// Attempts made so far, the failed one included; at least 1.
        pub attempts: u32,
        /// Those of `attempts` that an upstream has rejected, at most as many.
        pub rejections: u32,
        /// Attempts that the operation allows; `None` where it sets no bound.
        pub max_attempts: Option<u32>,
        /// Whether the service sheds calls of this importance now.
        pub shedding: bool,
        /// Time that the call is expected to take; `None` where unknown.
        pub expected: Option<Duration>,
    }
}
