//! What a request to the table service is for.

value_type! {
    /// The purpose of a request, which decides its place in the node's [`RateBudget`](super::RateBudget).
    pub enum StoreUse {
        /// A claim: a caller waits for it.
        Claim,
        /// The answer of a finished run.
        Answer,
        /// Configuration.
        Config,
        /// Seeds by which newcomers find members.
        Introduction,
    }
}

impl StoreUse {
    /// All uses.
    pub const ALL: [Self; 4] = [Self::Claim, Self::Answer, Self::Config, Self::Introduction];

    /// The use's name in metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Claim => "claim",
            Self::Answer => "answer",
            Self::Config => "configuration",
            Self::Introduction => "introduction",
        }
    }

    /// Whether a caller waits for the request.
    pub fn is_urgent(self) -> bool {
        self == Self::Claim
    }
}
