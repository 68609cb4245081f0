//! Commands that the other duties send to the gossip duty.

use coltsfootroute::{
    id::NodeId,
    membership::{MembershipStatus, UpstreamOffer},
    name::ServiceName,
};
use tokio::sync::oneshot;

/// A command that another duty sends to the gossip duty.
pub enum GossipCommand {
    /// Announces that the node's upstream accepts calls.
    Announce(UpstreamOffer),
    /// Announces that the node's upstream accepts no new calls.
    Leave,
    /// Watches the members of these services, and of no others except the node's own service.
    Watch(Vec<ServiceName>),
    /// Notes that a watched service is in use.
    Touch(ServiceName),
    /// Notes that a call has reached a member of a watched service.
    Reached(ServiceName),
    /// Notes that a call could not reach its target, a member of a watched service.
    Unreached(ServiceName),
    /// Sets the configuration revision that is in force on this node.
    SetRevision(u64),
    /// Sets the digest of the requests that this node holds back.
    SetQuarantine(u64),
    /// Adds addresses of nodes that were read from the table service.
    Introduce(Vec<NodeId>),
    /// Immediately pings some of these nodes, which were read from the table service, to request their records.
    Ping(Vec<NodeId>),
    /// Requests the membership status.
    Status(oneshot::Sender<MembershipStatus>),
}
