//! An attempt that did not succeed.

use std::time::Duration;

use crate::{
    outcome::{CallOutcome, RefusalReason},
    time::MonotonicTime,
};

record_type! {
    /// Facts about a failed attempt of a call on which the caller's decision to retry is based.
    pub struct FailedAttempt {
        /// Whether the attempt was executed.
        pub outcome: CallOutcome,
        /// Reason of the refusal; `None` if the attempt was not refused.
        pub reason: Option<RefusalReason>,
        /// Whether the operation may be executed more than once.
        pub repeatable: bool,
        /// Whether it failed because a nested call was not served after all of that call's own attempts.
        pub failed_below: bool,
        /// Deadline of the call on this node's clock.
        pub deadline: MonotonicTime,
        /// Number of attempts made, including the failed one; at least 1.
        pub attempts: u32,
        /// Number of `attempts` that an upstream rejected; at most `attempts`.
        pub rejections: u32,
        /// Maximum number of attempts that the operation allows; `None` if it sets no limit.
        pub max_attempts: Option<u32>,
        /// Whether the service currently sheds calls of this importance.
        pub shedding: bool,
        /// Expected duration of the call; `None` if unknown.
        pub expected: Option<Duration>,
    }
}
