//! Purpose of a request to the table service.

value_type! {
    /// Purpose of a request, which decides how it draws on the node's [`RateBudget`](super::RateBudget).
    pub enum StoreUse {
        /// Claim for which a caller waits.
        Claim,
        /// Answer of a finished execution.
        Answer,
        /// Read or submission of configuration.
        Config,
        /// Long poll for changes of the configuration.
        ConfigFeed,
        /// Rows through which new nodes discover this node, and through which it finds its upstream again.
        OwnRows,
        /// Scan of other nodes' rows by a new node.
        NodeScan,
        /// Scan of the rows of a service without known members.
        MemberScan,
        /// Quarantined requests and their trials.
        Quarantine,
    }
}

impl StoreUse {
    /// All purposes.
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

    /// Returns the purpose's name in metric labels.
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

    /// Returns whether a caller waits for the request.
    pub fn is_urgent(self) -> bool {
        self == Self::Claim
    }
}
