//! A call handed to the guard of the chosen upstream.

use std::time::Duration;

use bytes::Bytes;
use coltsfootroute::{
    event::HybridStamp,
    id::{NodeId, RequestId},
    importance::Importance,
    name::{OperationName, ServiceName, TeamName},
    upstream_limit::UpstreamNotice,
};

use super::{
    RequestHead, join_id, read_importance, split_id,
    upstream_notice::{read_notice, write_notice},
};
use crate::{
    address::{read_address, write_address},
    peer_capnp::call_request,
    wire_error::WireError,
};

/// A call handed to the guard of the chosen upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRequest {
    /// Client request that the call belongs to.
    pub request: RequestId,
    /// Service called.
    pub service: ServiceName,
    /// Operation called.
    pub operation: OperationName,
    /// Importance of the client request.
    pub importance: Importance,
    /// Time left until the deadline when the message was written, in whole microseconds.
    pub remaining: Duration,
    /// Node that keeps the retry account; `None` means no retry.
    pub account: Option<NodeId>,
    /// Hash of the client, for fairness within one importance.
    pub client: u64,
    /// Team whose request it is, if its caller had to show a key.
    pub team: Option<TeamName>,
    /// Whether the call is nested below work that runs already.
    pub under_way: bool,
    /// Whether this call, or one above it, is not the first attempt: an upstream may have worked on it.
    pub is_repeat: bool,
    /// Whether this call itself has reached an upstream before.
    pub is_retry: bool,
    /// Idempotency key.
    pub key: Option<String>,
    /// Media type of the body; empty if the caller stated none.
    pub content_type: String,
    /// Head of the request to pass on; `None` for a call in the product's own form.
    pub head: Option<RequestHead>,
    /// Body of the call, at most [`MAX_BODY_BYTES`](coltsfootroute::constants::MAX_BODY_BYTES).
    pub body: Bytes,
    /// Configuration revision in force at the calling node.
    pub revision: u64,
    /// What the calling node knows of the statements of the called upstream.
    pub known: Option<UpstreamNotice>,
    /// Time since the client request entered, in whole milliseconds; zero if it is not reported.
    pub age: Duration,
    /// Whether the caller uses the load in the reply.
    pub wants_load: bool,
    /// The calling node's hybrid clock.
    pub stamp: HybridStamp,
}

impl CallRequest {
    /// Writes the call into `builder`.
    pub fn write(&self, mut builder: call_request::Builder<'_>) {
        let (high, low) = split_id(self.request);
        builder.set_request_high(high);
        builder.set_request_low(low);
        builder.set_service(self.service.as_str());
        builder.set_operation(self.operation.as_str());
        builder.set_importance(self.importance.index() as u8);
        builder.set_remaining_micros(u64::try_from(self.remaining.as_micros()).unwrap_or(u64::MAX));
        if let Some(node) = self.account {
            write_address(node.0, builder.reborrow().init_account());
        }
        builder.set_client(self.client);
        if let Some(team) = &self.team {
            builder.set_team(team.as_str());
        }
        builder.set_under_way(self.under_way);
        builder.set_is_repeat(self.is_repeat);
        builder.set_is_retry(self.is_retry);
        builder.set_key(self.key.as_deref().unwrap_or_default());
        builder.set_content_type(self.content_type.as_str());
        if let Some(head) = &self.head {
            head.write(builder.reborrow().init_head());
        }
        builder.set_body(&self.body);
        builder.set_revision(self.revision);
        if let Some(known) = &self.known {
            write_notice(known, builder.reborrow().init_known());
        }
        builder.set_age_millis(u16::try_from(self.age.as_millis()).unwrap_or(u16::MAX));
        builder.set_wants_load(self.wants_load);
        builder.set_stamp_millis(self.stamp.wall_ms);
        builder.set_stamp_counter(self.stamp.counter);
    }

    /// Reads a call.
    ///
    /// # Errors
    ///
    /// [`WireError`] if a field is malformed or out of range.
    pub fn read(reader: call_request::Reader<'_>) -> Result<Self, WireError> {
        let account = match reader.has_account() {
            true => Some(NodeId(read_address(reader.get_account()?)?)),
            false => None,
        };
        let head = match reader.has_head() {
            true => Some(RequestHead::read(reader.get_head()?)?),
            false => None,
        };
        let known = match reader.has_known() {
            true => Some(read_notice(reader.get_known()?)?),
            false => None,
        };
        let key = reader.get_key()?.to_str()?;
        let team = reader.get_team()?.to_str()?;
        Ok(Self {
            request: join_id(reader.get_request_high(), reader.get_request_low()),
            service: ServiceName::new(reader.get_service()?.to_str()?),
            operation: OperationName::new(reader.get_operation()?.to_str()?),
            importance: read_importance(reader.get_importance())?,
            remaining: Duration::from_micros(reader.get_remaining_micros()),
            account,
            client: reader.get_client(),
            team: (!team.is_empty()).then(|| TeamName::new(team)),
            under_way: reader.get_under_way(),
            is_repeat: reader.get_is_repeat(),
            is_retry: reader.get_is_retry(),
            key: (!key.is_empty()).then(|| key.to_owned()),
            content_type: reader.get_content_type()?.to_str()?.to_owned(),
            head,
            body: Bytes::copy_from_slice(reader.get_body()?),
            revision: reader.get_revision(),
            known,
            age: Duration::from_millis(reader.get_age_millis().into()),
            wants_load: reader.get_wants_load(),
            stamp: HybridStamp::new(reader.get_stamp_millis(), reader.get_stamp_counter()),
        })
    }
}
