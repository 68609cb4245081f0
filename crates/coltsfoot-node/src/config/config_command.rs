//! Commands to the configuration duty.

use bytes::Bytes;
use coltsfootroute::{id::NodeId, revision::Revision};
use tokio::{sync::oneshot, time::Instant};

use super::{AcceptedConfig, SubmitRequest};
use crate::http::HttpReply;

/// Command from another duty to the configuration duty.
pub enum ConfigCommand {
    /// An operator submits a schema.
    Submit(SubmitRequest, Bytes, oneshot::Sender<HttpReply>),
    /// An operator requests the schema in force.
    Show(oneshot::Sender<HttpReply>),
    /// An operator requests the history of revisions.
    History(oneshot::Sender<HttpReply>),
    /// A peer has a higher revision in force than this node.
    PeerAhead {
        /// The peer.
        peer: NodeId,
        /// Revision in force at the peer.
        revision: Revision,
    },
    /// Another system has accepted a configuration, or has confirmed that this one is still in force.
    Accepted {
        /// The configuration.
        accepted: Box<AcceptedConfig>,
        /// Time at which this node was notified.
        notified_at: Instant,
    },
}
