//! Effects that the engine returns to the embedding process.

use std::time::Duration;

use super::{GossipMessage, MemberState};
use crate::{
    id::{Incarnation, NodeId},
    name::ServiceName,
};

record_type! {
    /// Effect for the embedding process to carry out or to pass on.
    pub enum GossipEffect {
        /// A datagram is to be sent.
        Send {
            /// Receiver.
            to: NodeId,
            /// Message to send.
            message: GossipMessage,
        },
        /// The members of a watched or own group changed in any way.
        Changed {
            /// The group.
            service: ServiceName,
        },
        /// A member has become live.
        MemberUp {
            /// Its group.
            service: ServiceName,
            /// The member.
            node: NodeId,
            /// Incarnation of the member.
            incarnation: Incarnation,
        },
        /// A live member is suspected, dead, or no longer known.
        MemberDown {
            /// Its group.
            service: ServiceName,
            /// The member.
            node: NodeId,
            /// State of the member: suspect or dead.
            state: MemberState,
        },
        /// A live member announced that it leaves; it takes no new requests.
        MemberLeft {
            /// Its group.
            service: ServiceName,
            /// The member.
            node: NodeId,
        },
        /// A peer has a higher revision of the configuration in force. Repeated until this node has caught up.
        RevisionBehind {
            /// The peer to fetch from.
            peer: NodeId,
            /// Revision that the peer has in force.
            revision: u64,
        },
        /// A peer's quarantine of requests that crash their upstreams differs from this node's.
        QuarantineDiffers {
            /// The peer to query.
            peer: NodeId,
        },
        /// Another node has answered for the first time.
        Joined,
        /// This process was paused, so its member lists may be stale. A member of a group also raises its incarnation.
        PauseDetected {
            /// Time between two ticks.
            gap: Duration,
        },
        /// This node refuted a statement about itself, or changed its own record.
        Reincarnated {
            /// New incarnation of this node.
            incarnation: Incarnation,
        },
    }
}
