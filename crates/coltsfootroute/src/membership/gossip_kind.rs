//! Kinds of messages, for counting.

value_type! {
    /// Kind of a gossip message.
    pub enum GossipKind {
        /// Probe.
        Ping,
        /// Answer to a probe.
        Ack,
        /// Request to probe a third node.
        PingRequest,
        /// Comparison of a group's digest.
        Pull,
        /// The digests are equal.
        PullMatch,
        /// Digests of the group's buckets.
        PullBuckets,
        /// Request for the records of some buckets.
        PullRecords,
        /// Records of some buckets.
        Records,
        /// Answer of a node that is not of the group: the members that it knows.
        Seeds,
        /// Updates sent unasked.
        Push,
    }
}

impl GossipKind {
    /// All kinds, in the order of their numbers.
    pub const ALL: [Self; 10] = [
        Self::Ping,
        Self::Ack,
        Self::PingRequest,
        Self::Pull,
        Self::PullMatch,
        Self::PullBuckets,
        Self::PullRecords,
        Self::Records,
        Self::Seeds,
        Self::Push,
    ];

    /// Name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ping => "ping",
            Self::Ack => "ack",
            Self::PingRequest => "ping_request",
            Self::Pull => "pull",
            Self::PullMatch => "pull_match",
            Self::PullBuckets => "pull_buckets",
            Self::PullRecords => "pull_records",
            Self::Records => "records",
            Self::Seeds => "seeds",
            Self::Push => "push",
        }
    }
}
