//! A call to be routed to an upstream.

use std::time::Duration;

use bytes::Bytes;
use coltsfoot_wire::peer::{CallRequest, RequestHead};
use coltsfootroute::{
    event::HybridStamp,
    id::{NodeId, RequestId},
    importance::Importance,
    name::{OperationName, ServiceName, TeamName},
    time::MonotonicTime,
};

/// Time subtracted from the remaining time at each hop, so that a refusal from further down arrives in time.
const HOP_MARGIN: Duration = Duration::from_millis(2);

/// A call to be routed to an upstream, with the attributes of its client request.
#[derive(Clone, Debug)]
pub struct RoutedCall {
    /// Client request.
    pub request: RequestId,
    /// Service called.
    pub service: ServiceName,
    /// Operation called.
    pub operation: OperationName,
    /// Importance of the client request.
    pub importance: Importance,
    /// Deadline on this node's clock.
    pub deadline: MonotonicTime,
    /// Time at which the client request entered, on this node's clock.
    pub entered: MonotonicTime,
    /// Node that keeps the retry account; `None` means no retry.
    pub account: Option<NodeId>,
    /// Hash of the client.
    pub client: u64,
    /// Team that sent the client request; `None` if no key was needed.
    pub team: Option<TeamName>,
    /// Whether the call is nested below a call that is already running.
    pub under_way: bool,
    /// Whether any call above this one is a retry.
    pub is_repeat: bool,
    /// Whether the operation may run again.
    pub repeatable: bool,
    /// Maximum number of attempts that the operation allows; `None` if it sets no limit.
    pub most_attempts: Option<u32>,
    /// Idempotency key.
    pub key: Option<String>,
    /// Media type of the body.
    pub content_type: String,
    /// Head of a request to pass on; `None` for a call in the product's own form.
    pub head: Option<RequestHead>,
    /// Body.
    pub body: Bytes,
}

impl RoutedCall {
    /// Builds the request to the guard of an upstream, with the time remaining at `now`.
    pub(super) fn to_request(
        &self,
        now: MonotonicTime,
        is_retry: bool,
        revision: u64,
        stamp: HybridStamp,
    ) -> CallRequest {
        CallRequest {
            request: self.request,
            service: self.service.clone(),
            operation: self.operation.clone(),
            importance: self.importance,
            remaining: self.deadline.since(now).saturating_sub(HOP_MARGIN),
            account: self.account,
            client: self.client,
            team: self.team.clone(),
            under_way: self.under_way,
            is_repeat: self.is_repeat || is_retry,
            is_retry,
            key: self.key.clone(),
            content_type: self.content_type.clone(),
            head: self.head.clone(),
            body: self.body.clone(),
            revision,
            known: None,
            age: Duration::ZERO,
            wants_load: false,
            stamp,
        }
    }
}
