//! A call on its way to an upstream.

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

/// Taken off the remaining time at each hop, so that a refusal from further down arrives in time.
const HOP_MARGIN: Duration = Duration::from_millis(2);

/// A call on its way to an upstream, with what the client request brings along.
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
    /// Node that keeps the retry account; `None` means no retry.
    pub account: Option<NodeId>,
    /// Hash of the client.
    pub client: u64,
    /// Team whose client request it is; `None` where no key was needed.
    pub team: Option<TeamName>,
    /// Whether the call is nested below work that runs already.
    pub under_way: bool,
    /// Whether the call above, or one above that, is not the first attempt.
    pub is_repeat: bool,
    /// Whether the operation may run again.
    pub repeatable: bool,
    /// Attempts that the operation allows; `None` where it sets no bound.
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
    /// The request to the guard of an upstream, as of `now`.
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
            stamp,
        }
    }
}
