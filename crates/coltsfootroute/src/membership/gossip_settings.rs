//! Settings of the gossip engine.

use std::time::Duration;

use crate::id::NodeId;

record_type! {
    /// Intervals and limits of the gossip. The defaults suit 18,000 nodes in groups of about 37.
    pub struct GossipSettings {
        /// Nodes to contact first, from the settings of the process.
        pub peers: Vec<NodeId>,
        /// Interval between two probes of the own group.
        pub probe_interval: Duration,
        /// Time to wait for an acknowledgement before other members are asked to probe. Must be less than
        /// `probe_interval`.
        pub ack_timeout: Duration,
        /// Number of members asked to probe on behalf of this node.
        pub indirect_probes: usize,
        /// Time that a suspected member has to refute the suspicion, in probe intervals. Multiplied by the decimal
        /// logarithm of the group's size, if that is above 1.
        pub suspicion_rounds: u32,
        /// Interval between two pulls of a watched service in use.
        pub pull_interval: Duration,
        /// Maximum number of groups, the own one included, up to which all watched services are pulled at
        /// `pull_interval`, whether they are in use or not.
        pub max_hot_watches: usize,
        /// Interval between two pulls of a watched service not in use, with more than `max_hot_watches` groups.
        pub cold_pull_interval: Duration,
        /// Time without use after which a watched service counts as not in use (cold).
        pub cold_after: Duration,
        /// Interval between two comparisons of records with a member of the own group.
        pub sync_interval: Duration,
        /// Time without any answer from a watched service, to pulls or calls, after which its members are hidden.
        /// They are hidden only if a call has failed to reach one of them.
        pub hide_after: Duration,
        /// Interval between two pings of nodes outside the own group.
        pub cross_group_interval: Duration,
        /// Interval between two probes of dead members of the own group.
        pub dead_probe_interval: Duration,
        /// Shortest time between two ticks that counts as a pause of the process.
        pub pause_gap: Duration,
        /// Number of times that an update is sent, per power of two of the group's size.
        pub retransmit_factor: u32,
        /// Time for which dead and departed members are remembered.
        pub tombstone_retention: Duration,
        /// Maximum number of dead and departed members remembered in one group.
        pub max_tombstones: usize,
        /// Maximum number of members held of one group.
        pub max_members: usize,
        /// Number of members to which each member forwards a leave immediately when it first receives it.
        pub eager_fanout: usize,
        /// Number of times that the departing node repeats its leave.
        pub leave_rounds: u32,
        /// Interval between these repeats.
        pub leave_interval: Duration,
        /// Maximum number of watchers remembered, which are notified of leaves.
        pub max_pullers: usize,
        /// Maximum number of entry points for each service whose members are not held.
        pub seeds_per_service: usize,
        /// Maximum number of services with entry points.
        pub max_seed_services: usize,
        /// Age at which an unconfirmed entry point is dropped.
        pub seed_max_age: Duration,
        /// Number of entry points sent with a ping to another group.
        pub seeds_per_ping: usize,
        /// Maximum rate of control traffic, in bytes per second, headers included.
        pub bytes_per_second: u64,
        /// Maximum burst of control traffic, in bytes.
        pub burst_bytes: u64,
        /// Maximum burst after a start, in bytes, when a node fetches the members of all services that it watches and
        /// answers other nodes that do so. When all nodes of a deployment of 194 started together with `burst_bytes`
        /// only, they knew 68 to 82 percent of the members ten seconds later, and overloaded those.
        pub start_bytes: u64,
        /// Maximum number of datagrams waiting for bandwidth.
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
    /// Creates the default settings, without peers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the nodes to contact first.
    pub fn with_peers(self, peers: impl IntoIterator<Item = NodeId>) -> Self {
        Self { peers: peers.into_iter().collect(), ..self }
    }

    /// Limits the control traffic; `burst_bytes` also applies after the start.
    pub fn with_bandwidth(self, bytes_per_second: u64, burst_bytes: u64) -> Self {
        Self { bytes_per_second, burst_bytes, start_bytes: burst_bytes, ..self }
    }
}
