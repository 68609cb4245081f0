//! Why a call reached a further upstream.

value_type! {
    /// Why a call that had reached an upstream, or may have, was sent to a further one.
    pub enum RepeatCause {
        /// The upstream rejected it: it has not run there.
        Rejected,
        /// The upstream answered that it failed.
        Failed,
        /// The upstream ended or broke off without a whole answer.
        Broken,
        /// The node beside the upstream did not answer: the call may have gone no further.
        Unanswered,
    }
}

impl RepeatCause {
    /// All causes.
    pub const ALL: [Self; 4] = [Self::Rejected, Self::Failed, Self::Broken, Self::Unanswered];

    /// The cause's name in metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Rejected => "rejected",
            Self::Failed => "failed",
            Self::Broken => "broken",
            Self::Unanswered => "unanswered",
        }
    }
}
