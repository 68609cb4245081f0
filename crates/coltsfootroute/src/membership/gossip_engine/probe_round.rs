//! The probe under way.

use crate::{id::NodeId, time::MonotonicTime};

value_type! {
    /// One member being probed, directly and then through others.
    pub(super) struct ProbeRound {
        /// The member.
        pub(super) target: NodeId,
        /// Sequence of the ping.
        pub(super) sequence: u64,
        /// When others are asked.
        pub(super) indirect_at: MonotonicTime,
        /// Whether they were.
        pub(super) indirect_sent: bool,
        /// When the member becomes suspect.
        pub(super) verdict_at: MonotonicTime,
    }
}
