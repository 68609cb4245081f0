//! Causes for not retrying a call.

value_type! {
    /// Cause for not retrying a call.
    pub enum GiveUpCause {
        /// The call completed, so its answer is final, whatever its status.
        Completed,
        /// The call may have been executed and must not be executed twice.
        NotRepeatable,
        /// A retry would not finish before the deadline.
        TooLate,
        /// The service sheds calls of this importance, so a retry would add to the overload.
        Shedding,
        /// A nested call was not served, and its caller has already made all useful attempts.
        FailedBelow,
        /// Any other upstream would refuse the call for the same reason.
        Final,
        /// The call has used up its attempts.
        AttemptsSpent,
    }
}

impl GiveUpCause {
    /// Returns the cause's name in logs and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::NotRepeatable => "not-repeatable",
            Self::TooLate => "too-late",
            Self::Shedding => "shedding",
            Self::FailedBelow => "failed-below",
            Self::Final => "final",
            Self::AttemptsSpent => "attempts-spent",
        }
    }
}
