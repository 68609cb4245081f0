//! What the other duties ask of the configuration duty.

use bytes::Bytes;
use coltsfootroute::{id::NodeId, revision::Revision};
use tokio::{sync::oneshot, time::Instant};

use super::{AcceptedConfig, SubmitRequest};
use crate::http::HttpReply;

/// What the other duties ask of the configuration duty.
pub enum ConfigCommand {
    /// An operator submits a schema.
    Submit(SubmitRequest, Bytes, oneshot::Sender<HttpReply>),
    /// An operator asks for the schema in force.
    Show(oneshot::Sender<HttpReply>),
    /// An operator asks who changed what, and when.
    History(oneshot::Sender<HttpReply>),
    /// A peer has a higher revision in force.
    PeerAhead {
        /// The peer.
        peer: NodeId,
        /// Its revision.
        revision: Revision,
    },
    /// Another system has accepted a configuration, or still has this one in force.
    Accepted {
        /// The configuration.
        accepted: Box<AcceptedConfig>,
        /// When it was told.
        notified_at: Instant,
    },
}
