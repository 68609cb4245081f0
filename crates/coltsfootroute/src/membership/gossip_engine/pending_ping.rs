//! Pings that wait for their acknowledgement.

use crate::{id::NodeId, time::MonotonicTime};

value_type! {
    /// Purpose of a ping.
    pub(super) enum PingPurpose {
        /// Find other nodes.
        Join,
        /// Exchange entry points and revisions with a random node.
        CrossGroup,
        /// Find out whether a dead member has come back.
        DeadProbe,
        /// Probe the target of the current probe round.
        Probe,
        /// Probe a member on behalf of another member.
        Relay {
            /// Member that requested the probe.
            requester: NodeId,
            /// Sequence number of the requester's own probe.
            sequence: u64,
        },
    }
}

value_type! {
    /// Ping that waits for its acknowledgement.
    pub(super) struct PendingPing {
        /// Node that the ping was sent to.
        pub(super) target: NodeId,
        /// Purpose of the ping.
        pub(super) purpose: PingPurpose,
        /// Time at which the ping counts as unanswered.
        pub(super) expires: MonotonicTime,
    }
}
