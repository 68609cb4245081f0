//! Result of a deadline check.

use std::time::Duration;

value_type! {
    /// Result of the check whether a call can finish before its deadline.
    pub enum DeadlineVerdict {
        /// The call can finish in time, according to the current estimates.
        Admitted,
        /// The deadline has passed.
        Passed,
        /// Calls of the same operation take longer than the remaining time.
        TooShort {
            /// Time until the deadline.
            remaining: Duration,
            /// Time that calls of the same operation take, plus the margin of the check.
            needed: Duration,
        },
    }
}

impl DeadlineVerdict {
    /// Returns whether the call may start.
    pub fn is_admitted(self) -> bool {
        self == Self::Admitted
    }
}
