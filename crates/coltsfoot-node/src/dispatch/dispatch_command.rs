//! What the other duties ask of the dispatch duty.

use std::sync::Arc;

use coltsfootroute::{
    id::NodeId, membership::MemberRecord, name::ServiceName, quarantine::RequestFingerprint,
};
use tokio::sync::oneshot;

use super::{ingress::IncomingCall, links::UpstreamAnnouncement};
use crate::{config::ConfigInForce, http::HttpReply};

/// What the other duties ask of the dispatch duty.
pub enum DispatchCommand {
    /// Serve a call.
    Call(Box<IncomingCall>, oneshot::Sender<HttpReply>),
    /// The upstream beside the node announces itself, or repeats its announcement as a heartbeat.
    Announce(UpstreamAnnouncement, oneshot::Sender<HttpReply>),
    /// The upstream beside the node leaves.
    Withdraw(oneshot::Sender<HttpReply>),
    /// A configuration is in force from now on.
    Configure(Arc<ConfigInForce>),
    /// The members of a service changed.
    Members(ServiceName, Arc<[MemberRecord]>),
    /// Ask a peer for the configuration changes since a revision.
    PullConfig {
        /// The peer.
        peer: NodeId,
        /// Revision in force here.
        since: u64,
        /// Takes the encoded delta, or `None` if the peer did not answer.
        reply: oneshot::Sender<Option<Vec<u8>>>,
    },
    /// Ask a peer which requests it holds back.
    PullQuarantine(NodeId),
    /// Report which requests are held back.
    Quarantine(oneshot::Sender<HttpReply>),
    /// Let a request go that is held back.
    Release(RequestFingerprint, oneshot::Sender<HttpReply>),
    /// Report the state of the node.
    Status(oneshot::Sender<HttpReply>),
    /// Begin a planned stop; the sender is dropped when nothing is in flight any more.
    Drain(oneshot::Sender<()>),
}
