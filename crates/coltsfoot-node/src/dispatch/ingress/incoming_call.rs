//! A call as a listener received it.

use std::{net::IpAddr, time::Duration};

use bytes::Bytes;
use coltsfoot_wire::peer::RequestHead;
use coltsfootroute::{
    name::{OperationName, ServiceName},
    team::KeyDigest,
    time::MonotonicTime,
};

/// Listener that received a call.
#[derive(Clone, Debug)]
pub enum CallOrigin {
    /// On the listener for clients.
    Client {
        /// Address of the client, for fairness between clients.
        address: IpAddr,
    },
    /// On the host's own address, from the upstream beside the node.
    Upstream {
        /// Context of the client request that the upstream works on, if it sent one.
        context: Option<String>,
    },
}

/// A call as a listener received it.
#[derive(Clone, Debug)]
pub struct IncomingCall {
    /// Listener that received the call.
    pub origin: CallOrigin,
    /// Service called.
    pub service: ServiceName,
    /// Operation called.
    pub operation: OperationName,
    /// Digest of the key that the caller presents, if any.
    pub credential: Option<KeyDigest>,
    /// Idempotency key.
    pub key: Option<String>,
    /// Remaining time that the caller states.
    pub remaining: Option<Duration>,
    /// Media type of the body.
    pub content_type: String,
    /// Head of a request to pass on; `None` for a call in the product's own form.
    pub head: Option<RequestHead>,
    /// Body.
    pub body: Bytes,
    /// Time at which the head of the request had been read.
    pub received: MonotonicTime,
}
