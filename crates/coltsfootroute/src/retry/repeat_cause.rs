//! Causes for sending a call to another upstream.

value_type! {
    /// Cause for sending a call to another upstream after it reached, or may have reached, one.
    pub enum RepeatCause {
        /// The upstream rejected the call without executing it.
        Rejected,
        /// The upstream answered that the call failed.
        Failed,
        /// The upstream terminated or broke off without a complete answer.
        Broken,
        /// The node beside the upstream did not answer; the call may not have reached the upstream.
        Unanswered,
    }
}

impl RepeatCause {
    /// All causes.
    pub const ALL: [Self; 4] = [Self::Rejected, Self::Failed, Self::Broken, Self::Unanswered];

    /// Returns the cause's name in metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Rejected => "rejected",
            Self::Failed => "failed",
            Self::Broken => "broken",
            Self::Unanswered => "unanswered",
        }
    }
}
