//! What the other duties ask of the gossip duty.

use coltsfootroute::{
    id::NodeId,
    membership::{MembershipStatus, UpstreamOffer},
    name::ServiceName,
};
use tokio::sync::oneshot;

/// What the other duties ask of the gossip duty.
pub enum GossipCommand {
    /// The upstream beside the node takes work.
    Announce(UpstreamOffer),
    /// The upstream beside the node takes no new work.
    Leave,
    /// Hold the members of these services, and of no others but the own one.
    Watch(Vec<ServiceName>),
    /// A watched service is in use.
    Touch(ServiceName),
    /// A call has reached a member of a watched service.
    Reached(ServiceName),
    /// A call could not reach the member of a watched service that it was for.
    Unreached(ServiceName),
    /// A configuration revision is in force here.
    SetRevision(u64),
    /// The node holds back the requests of this digest.
    SetQuarantine(u64),
    /// Addresses of nodes read from the table service.
    Introduce(Vec<NodeId>),
    /// Ask some of these nodes, read from the table service, for their records now.
    Ping(Vec<NodeId>),
    /// Report what is known.
    Status(oneshot::Sender<MembershipStatus>),
}
