//! Requests of other nodes that a node handles.

use std::{future::Future, rc::Rc};

use coltsfoot_wire::peer::{CallReply, CallRequest, ClaimState, TakeAnswer};
use coltsfootroute::{
    id::{NodeId, RequestId},
    name::TeamName,
    quarantine::QuarantineUpdate,
    quota::CreditGrant,
};

use super::CreditDemand;
use crate::{answers::AnswerTracker, dispatch::context::NodeContext, memory::MemoryPool};

/// Reply of the node that holds a retry account to a request for a token.
#[derive(Clone, Copy, Debug)]
pub struct TokenReply {
    /// Whether the token is granted.
    pub answer: TakeAnswer,
    /// Number of tokens remaining in the account.
    pub remaining: u32,
}

/// Serves calls of other nodes.
pub trait CallHandler {
    /// Returns the tracker of the answers that this node still has to hand over.
    fn answers(&self) -> &AnswerTracker;

    /// Returns the memory of the process for requests and answers.
    fn memory(&self) -> &MemoryPool;

    /// Returns the refusal of a call for which there was no memory.
    fn refuse_unheld(&self) -> CallReply;

    /// Serves a call for the node's upstream. Dropping the future cancels the call.
    fn call(self: Rc<Self>, call: CallRequest) -> impl Future<Output = CallReply>;
}

/// Handles all requests of other nodes.
pub trait PeerHandler: CallHandler {
    /// Returns the node's clock, configuration, metrics and events.
    fn context(&self) -> &NodeContext;

    /// Acquires a token from a retry account that this node holds.
    fn acquire_token(&self, request: RequestId, take_id: u64) -> TokenReply;

    /// Merges a quarantine update; returns all cases and crashes known to this node if `wants_all`.
    fn receive_quarantine(&self, news: QuarantineUpdate, wants_all: bool) -> QuarantineUpdate;

    /// Grants credit of `team`; returns `None` if this node does not own it or knows no rate limit of the team.
    fn acquire_credit(
        &self,
        requester: NodeId,
        team: &TeamName,
        demand: CreditDemand,
    ) -> Option<CreditGrant>;

    /// Returns the state of a claim made by this incarnation of the node.
    fn claim_state(&self, claim: RequestId) -> ClaimState;
}
