//! What the engine wants done.

use std::time::Duration;

use super::{GossipMessage, MemberState};
use crate::{
    id::{Incarnation, NodeId},
    name::ServiceName,
};

record_type! {
    /// An effect for the embedding process to carry out or to pass on.
    pub enum GossipEffect {
        /// Send a datagram.
        Send {
            /// Receiver.
            to: NodeId,
            /// What to send.
            message: GossipMessage,
        },
        /// The members of a watched or own group changed in any way.
        Changed {
            /// The group.
            service: ServiceName,
        },
        /// A member is live that was not.
        MemberUp {
            /// Its group.
            service: ServiceName,
            /// The member.
            node: NodeId,
            /// Its life.
            incarnation: Incarnation,
        },
        /// A live member is suspected, dead, or no longer known.
        MemberDown {
            /// Its group.
            service: ServiceName,
            /// The member.
            node: NodeId,
            /// Suspect or dead.
            state: MemberState,
        },
        /// A live member left by its own word: no new work for it.
        MemberLeft {
            /// Its group.
            service: ServiceName,
            /// The member.
            node: NodeId,
        },
        /// A peer has a higher revision of the configuration in force; repeated until caught up.
        RevisionBehind {
            /// The peer to fetch from.
            peer: NodeId,
            /// Its revision.
            revision: u64,
        },
        /// A peer holds back other requests that end their upstreams than this node.
        QuarantineDiffers {
            /// The peer to ask.
            peer: NodeId,
        },
        /// The first other node has answered, or there is none to ask.
        Joined,
        /// The own process had stopped for a while: what it knew may be stale, and it says so by a
        /// new incarnation.
        PauseDetected {
            /// Time between two ticks.
            gap: Duration,
        },
        /// The node refuted what was said of it, or changed its record.
        Reincarnated {
            /// Its own incarnation from now on.
            incarnation: Incarnation,
        },
    }
}
