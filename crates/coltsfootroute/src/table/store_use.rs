//! What a request to the table service is for.

value_type! {
    /// The purpose of a request, which decides its place in the node's [`RateBudget`](super::RateBudget).
    pub enum StoreUse {
        /// A claim: a caller waits for it.
        Claim,
        /// The answer of a finished run.
        Answer,
        /// Configuration: a read or a submission.
        Config,
        /// A long question for changes of the configuration.
        ConfigFeed,
        /// The rows by which newcomers find the node, and by which it finds its upstream again.
        OwnRows,
        /// Rows of others, read by a newcomer.
        NodeScan,
        /// Rows of one service of which no member is known.
        MemberScan,
        /// Requests that are held back, and their trials.
        Quarantine,
    }
}

impl StoreUse {
    /// All uses.
    pub const ALL: [Self; 8] = [
        Self::Claim,
        Self::Answer,
        Self::Config,
        Self::ConfigFeed,
        Self::OwnRows,
        Self::NodeScan,
        Self::MemberScan,
        Self::Quarantine,
    ];

    /// The use's name in metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Claim => "claim",
            Self::Answer => "answer",
            Self::Config => "configuration",
            Self::ConfigFeed => "configuration-feed",
            Self::OwnRows => "own-rows",
            Self::NodeScan => "node-scan",
            Self::MemberScan => "member-scan",
            Self::Quarantine => "quarantine",
        }
    }

    /// Whether a caller waits for the request.
    pub fn is_urgent(self) -> bool {
        self == Self::Claim
    }
}
