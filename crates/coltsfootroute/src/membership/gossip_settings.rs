//! Settings of the engine.

use std::time::Duration;

use crate::id::NodeId;

record_type! {
    /// Intervals and bounds of the gossip; the defaults suit 18,000 nodes in groups of about 37.
    pub struct GossipSettings {
        /// Nodes to ask first, from the process's settings.
        pub peers: Vec<NodeId>,
        /// Time between two probes of the own group.
        pub probe_interval: Duration,
        /// Time to wait for an acknowledgement before others are asked to probe. Below
        /// `probe_interval`.
        pub ack_timeout: Duration,
        /// Members asked to probe for us.
        pub indirect_probes: usize,
        /// Time that a suspected member has to refute, in probe intervals per power of ten of the
        /// group's size.
        pub suspicion_rounds: u32,
        /// Time between two pulls of a watched service in use.
        pub pull_interval: Duration,
        /// Most groups held in detail that are all pulled at the short interval, used or not.
        pub max_hot_watches: usize,
        /// Time between two pulls of a watched service not in use, beyond that number of groups.
        pub cold_pull_interval: Duration,
        /// Time without use after which a watched service is cold.
        pub cold_after: Duration,
        /// Time between two comparisons with a member of the own group.
        pub sync_interval: Duration,
        /// Time without any answer from a watched service, to pulls or calls, after which its members are hidden
        /// if a call has failed to reach one.
        pub hide_after: Duration,
        /// Time between two pings outside the own group.
        pub cross_group_interval: Duration,
        /// Time between two probes of dead members of the own group.
        pub dead_probe_interval: Duration,
        /// Time between two ticks that shows that the process had stopped.
        pub pause_gap: Duration,
        /// News is passed on this many times per power of two of the group's size.
        pub retransmit_factor: u32,
        /// How long dead and departed members are remembered.
        pub tombstone_retention: Duration,
        /// Most dead and departed members remembered in one group.
        pub max_tombstones: usize,
        /// Most members held of one group.
        pub max_members: usize,
        /// Members that a leave is passed to at once by each that hears of it first.
        pub eager_fanout: usize,
        /// Times that the departing node repeats its leave.
        pub leave_rounds: u32,
        /// Time between these.
        pub leave_interval: Duration,
        /// Watchers remembered, to be told of a leave.
        pub max_pullers: usize,
        /// Entry points kept for each service outside the detail.
        pub seeds_per_service: usize,
        /// Most services with entry points.
        pub max_seed_services: usize,
        /// Age at which an entry point that was not confirmed is dropped.
        pub seed_max_age: Duration,
        /// Entry points that travel on a ping to another group.
        pub seeds_per_ping: usize,
        /// Control bytes per second, headers included.
        pub bytes_per_second: u64,
        /// Control bytes that may go out at once.
        pub burst_bytes: u64,
        /// The same after a start, when a node learns all that it watches and answers others that do. Where all nodes of
        /// a deployment of 194 started together and had `burst_bytes` only, they knew 68 to 82 in a hundred of the
        /// members ten seconds later, and overloaded those they knew.
        pub start_bytes: u64,
        /// Most datagrams waiting for bytes.
        pub max_outbox: usize,
    }
}

impl Default for GossipSettings {
    fn default() -> Self {
        Self {
            peers: Vec::new(),
            probe_interval: Duration::from_secs(1),
            ack_timeout: Duration::from_millis(300),
            indirect_probes: 3,
            suspicion_rounds: 4,
            pull_interval: Duration::from_secs(1),
            max_hot_watches: 16,
            cold_pull_interval: Duration::from_secs(10),
            cold_after: Duration::from_secs(30),
            sync_interval: Duration::from_secs(10),
            hide_after: Duration::from_secs(10),
            cross_group_interval: Duration::from_secs(2),
            dead_probe_interval: Duration::from_secs(5),
            pause_gap: Duration::from_secs(3),
            retransmit_factor: 3,
            tombstone_retention: Duration::from_secs(3_600),
            max_tombstones: 512,
            max_members: 8_192,
            eager_fanout: 4,
            leave_rounds: 3,
            leave_interval: Duration::from_millis(300),
            max_pullers: 128,
            seeds_per_service: 3,
            max_seed_services: 1_024,
            seed_max_age: Duration::from_secs(600),
            seeds_per_ping: 4,
            bytes_per_second: 2_000,
            burst_bytes: 16_000,
            start_bytes: 96_000,
            max_outbox: 256,
        }
    }
}

impl GossipSettings {
    /// The defaults, without peers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Asks `peers` first.
    pub fn with_peers(self, peers: impl IntoIterator<Item = NodeId>) -> Self {
        Self { peers: peers.into_iter().collect(), ..self }
    }

    /// Bounds the control bytes, also at the start.
    pub fn with_bandwidth(self, bytes_per_second: u64, burst_bytes: u64) -> Self {
        Self { bytes_per_second, burst_bytes, start_bytes: burst_bytes, ..self }
    }
}
