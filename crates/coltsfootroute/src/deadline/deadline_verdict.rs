//! Verdict on a call's deadline.

use std::time::Duration;

value_type! {
    /// Whether a call can finish before its deadline.
    pub enum DeadlineVerdict {
        /// It can, as far as is known.
        Admitted,
        /// The deadline has passed.
        Passed,
        /// Calls like it take longer than what is remaining.
        TooShort {
            /// Time remaining.
            remaining: Duration,
            /// Time that calls like it take.
            needed: Duration,
        },
    }
}

impl DeadlineVerdict {
    /// Whether the call may start.
    pub fn is_admitted(self) -> bool {
        self == Self::Admitted
    }
}
