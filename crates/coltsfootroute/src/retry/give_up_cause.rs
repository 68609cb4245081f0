//! Why a call is not retried.

value_type! {
    /// Why a call is not retried.
    pub enum GiveUpCause {
        /// It completed: the answer stands, whatever it says.
        Completed,
        /// It may have run and must not run twice.
        NotRepeatable,
        /// A retry would not finish before the deadline.
        TooLate,
        /// The service sheds calls of this importance: a retry would add to the overload.
        Shedding,
        /// A nested call was not served: what could be tried was tried where it failed.
        FailedBelow,
        /// Another attempt would get the same answer.
        Final,
        /// This call has been tried often enough.
        AttemptsSpent,
    }
}

impl GiveUpCause {
    /// The cause's name in logs and metric labels.
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
