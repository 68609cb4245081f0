//! What a node does for others that ask it.

use std::{future::Future, rc::Rc};

use coltsfoot_wire::peer::{CallReply, CallRequest, ClaimState, TakeAnswer};
use coltsfootroute::{
    id::{NodeId, RequestId},
    name::TeamName,
    quarantine::QuarantineUpdate,
    quota::CreditGrant,
};

use super::CreditDemand;
use crate::dispatch::context::NodeContext;

/// What the node that keeps a retry account says to a request for a token.
#[derive(Clone, Copy, Debug)]
pub struct TokenReply {
    /// Whether it is granted.
    pub answer: TakeAnswer,
    /// Tokens left in the account.
    pub remaining: u32,
}

/// Serves calls of other nodes.
pub trait CallHandler {
    /// Serves a call for the upstream beside the node. Dropping the future gives the call up.
    fn call(self: Rc<Self>, call: CallRequest) -> impl Future<Output = CallReply>;
}

/// What a node does for others that ask it.
pub trait PeerHandler: CallHandler {
    /// Clock, configuration, metrics and events of the node.
    fn context(&self) -> &NodeContext;

    /// Takes a token from a retry account kept here.
    fn acquire_token(&self, request: RequestId, take_id: u64) -> TokenReply;

    /// Takes in news of ended upstreams; returns all that this node knows of them if `wants_all`.
    fn receive_quarantine(&self, news: QuarantineUpdate, wants_all: bool) -> QuarantineUpdate;

    /// Gives out credit of `team`; `None` if another node owns it.
    fn acquire_credit(
        &self,
        requester: NodeId,
        team: &TeamName,
        demand: CreditDemand,
    ) -> Option<CreditGrant>;

    /// What became of a claim of this life of the node.
    fn claim_state(&self, claim: RequestId) -> ClaimState;
}
