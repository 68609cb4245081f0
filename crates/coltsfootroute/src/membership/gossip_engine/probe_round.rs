//! Current probe of the failure detector.

use crate::{id::NodeId, time::MonotonicTime};

value_type! {
    /// Probe of one member, first directly and then through other members.
    pub(super) struct ProbeRound {
        /// Member that is probed.
        pub(super) target: NodeId,
        /// Sequence number of the ping.
        pub(super) sequence: u64,
        /// Time at which other members are asked to probe the target.
        pub(super) indirect_at: MonotonicTime,
        /// Whether other members have been asked.
        pub(super) indirect_sent: bool,
        /// Time at which the target becomes suspect.
        pub(super) verdict_at: MonotonicTime,
    }
}
