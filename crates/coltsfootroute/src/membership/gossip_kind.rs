//! Kinds of gossip messages, for counters.

value_type! {
    /// Kind of a gossip message.
    pub enum GossipKind {
        /// Probe.
        Ping,
        /// Acknowledgement of a probe.
        Ack,
        /// Request to probe a third node.
        PingRequest,
        /// Comparison of a group's digest.
        Pull,
        /// Reply to a pull whose digest is equal.
        PullMatch,
        /// Reply to a pull whose digest differs: digests of the group's buckets.
        PullBuckets,
        /// Request for the records of some buckets.
        PullRecords,
        /// Records of some buckets.
        Records,
        /// Reply of a node outside the group: the members that it knows.
        Seeds,
        /// Unsolicited updates.
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

    /// Returns the name for logs and metrics.
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
