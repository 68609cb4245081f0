//! What a node does for others that call it.

use std::{future::Future, rc::Rc};

use coltsfoot_wire::peer::{CallReply, CallRequest, ClaimState, TakeAnswer};
use coltsfootroute::id::RequestId;

use crate::dispatch::context::NodeContext;

/// What the node that keeps a retry account says to a request for a token.
#[derive(Clone, Copy, Debug)]
pub struct TokenAnswer {
    /// Whether it is granted.
    pub answer: TakeAnswer,
    /// Tokens left in the account.
    pub remaining: u32,
}

/// What a node does for others that call it.
pub trait PeerHandler {
    /// Clock, configuration, metrics and events of the node.
    fn context(&self) -> &NodeContext;

    /// Serves a call for the upstream beside the node.
    fn call(self: &Rc<Self>, call: CallRequest) -> impl Future<Output = CallReply>;

    /// Takes a token from a retry account kept here.
    fn take_token(&self, request: RequestId, take_id: u64) -> TokenAnswer;

    /// What became of a claim of this life of the node.
    fn claim_state(&self, claim: RequestId) -> ClaimState;
}
