//! Commands to the dispatch duty.

use std::sync::Arc;

use coltsfootroute::{
    id::NodeId, membership::MemberRecord, name::ServiceName, quarantine::RequestFingerprint,
};
use tokio::sync::oneshot;

use super::{ingress::IncomingCall, links::UpstreamAnnouncement};
use crate::{config::ConfigInForce, http::HttpReply};

/// Command from another duty to the dispatch duty.
pub enum DispatchCommand {
    /// Serves a call.
    Call(Box<IncomingCall>, oneshot::Sender<HttpReply>),
    /// Announces the upstream beside the node, or repeats its announcement as a heartbeat.
    Announce(UpstreamAnnouncement, oneshot::Sender<HttpReply>),
    /// Deregisters the upstream beside the node when it leaves.
    Withdraw(oneshot::Sender<HttpReply>),
    /// Applies a configuration that has come into force.
    Configure(Arc<ConfigInForce>),
    /// Updates the members of a service.
    Members(ServiceName, Arc<[MemberRecord]>),
    /// Requests the configuration changes since a revision from a peer.
    PullConfig {
        /// The peer.
        peer: NodeId,
        /// Revision in force here.
        since: u64,
        /// Receives the encoded delta, or `None` if the peer did not answer.
        reply: oneshot::Sender<Option<Vec<u8>>>,
    },
    /// Requests the list of quarantined requests from a peer.
    PullQuarantine(NodeId),
    /// Reports the quarantined requests.
    Quarantine(oneshot::Sender<HttpReply>),
    /// Releases a request from quarantine.
    Release(RequestFingerprint, oneshot::Sender<HttpReply>),
    /// Reports the state of the node.
    Status(oneshot::Sender<HttpReply>),
    /// Begins a planned stop; the sender is dropped when no call is in flight any more.
    Drain(oneshot::Sender<()>),
}
