//! A ping that waits for its acknowledgement.

use crate::{id::NodeId, time::MonotonicTime};

value_type! {
    /// Why a ping was sent.
    pub(super) enum PingPurpose {
        /// To find any other node at all.
        Join,
        /// To a random node of another group.
        CrossGroup,
        /// To a dead member, which may have come back.
        DeadProbe,
        /// To the member of the current probe.
        Probe,
        /// For another member, whose probe has this sequence.
        Relay {
            /// Who asked.
            requester: NodeId,
            /// The asker's own sequence.
            sequence: u64,
        },
    }
}

value_type! {
    /// A ping that waits for its acknowledgement.
    pub(super) struct PendingPing {
        /// Whom it went to.
        pub(super) target: NodeId,
        /// Why.
        pub(super) purpose: PingPurpose,
        /// When it is given up.
        pub(super) expires: MonotonicTime,
    }
}
