//! Tokens of retry accounts: taken here, or asked of the node that keeps the account.

use std::time::Duration;

use coltsfoot_wire::peer::{TakeAnswer, read_take_answer, split_id};
use coltsfootroute::{
    event::{DenialReason, EventKind},
    id::{NodeId, RequestId},
    retry::{AcquireDenial, AcquireResult, GiveUpCause},
};
use rand::RngExt;
use tokio::time::timeout;

use super::{call_ingress::CallIngress, routed_call::RoutedCall};
use crate::{
    dispatch::{
        context::{TAKE_BYTES, WORD_BYTES},
        links::TokenReply,
    },
    metrics::ControlKind,
};

fn denial_reason(denial: AcquireDenial) -> DenialReason {
    match denial {
        AcquireDenial::UnknownAccount => DenialReason::NoAccount,
        AcquireDenial::BudgetSpent => DenialReason::Exhausted,
        AcquireDenial::DeadlinePassed => DenialReason::Deadline,
    }
}

fn take_answer(denial: AcquireDenial) -> TakeAnswer {
    match denial {
        AcquireDenial::UnknownAccount => TakeAnswer::NoAccount,
        AcquireDenial::BudgetSpent => TakeAnswer::Denied,
        AcquireDenial::DeadlinePassed => TakeAnswer::Late,
    }
}

/// Longest wait for the account's node; after it there is no retry.
const TAKE_TIMEOUT: Duration = Duration::from_millis(250);

impl CallIngress {
    /// Takes a token from a retry account kept at this node.
    pub fn take_own_token(&self, request: RequestId, take_id: u64) -> TokenReply {
        let mut accounts = self.accounts.borrow_mut();
        let answer = match accounts.acquire(self.context.now(), request, take_id) {
            AcquireResult::Granted => {
                self.context.metrics.retries.granted(accounts.granted(request).unwrap_or_default());
                TakeAnswer::Granted
            }
            AcquireResult::Denied(denial) => {
                self.context.metrics.retries.denied(denial_reason(denial));
                take_answer(denial)
            }
        };
        TokenReply { answer, remaining: accounts.remaining(request).unwrap_or_default() }
    }

    /// Takes a token for one retry of `call` from its account.
    pub(super) async fn take_token(&self, call: &RoutedCall) -> bool {
        if !self.context.control.is_on() {
            // The uncontrolled half of a measurement retries at each hop, bounded by its policy.
            return true;
        }
        let Some(account) = call.account else {
            self.deny_retry(call, DenialReason::NoAccount);
            return false;
        };
        let token = self.ask_token(account, call.request).await;
        self.note_token(call, token);
        token.is_some_and(|token| token.answer == TakeAnswer::Granted)
    }

    /// Takes note that a failed attempt is not repeated, where the cause is a limit and not the answer.
    pub(super) fn note_give_up(&self, call: &RoutedCall, cause: GiveUpCause) {
        match cause {
            GiveUpCause::NotRepeatable => self.deny_retry(call, DenialReason::NonRepeatable),
            GiveUpCause::TooLate => self.deny_retry(call, DenialReason::Deadline),
            GiveUpCause::Shedding => self.deny_retry(call, DenialReason::Shedding),
            GiveUpCause::FailedBelow => self.deny_retry(call, DenialReason::FailedBelow),
            GiveUpCause::Completed | GiveUpCause::Final | GiveUpCause::AttemptsSpent => {}
        }
    }

    /// Takes note that the guard has let a retry pass no more.
    pub(super) fn note_throttled(&self, call: &RoutedCall) {
        self.deny_retry(call, DenialReason::Throttled);
    }

    /// A denial by this node and not by the account, which counts its own.
    fn deny_retry(&self, call: &RoutedCall, reason: DenialReason) {
        self.context.metrics.retries.denied(reason);
        self.emit_denied(call, reason);
    }

    fn emit_denied(&self, call: &RoutedCall, reason: DenialReason) {
        let (request, service) = (call.request, call.service.clone());
        self.context.events.emit(EventKind::RetryDenied { request, service, reason });
    }

    fn note_token(&self, call: &RoutedCall, token: Option<TokenReply>) {
        let Some(token) = token else {
            self.deny_retry(call, DenialReason::Unreachable);
            return;
        };
        match token.answer {
            TakeAnswer::Granted => self.context.events.emit(EventKind::RetryGranted {
                request: call.request,
                service: call.service.clone(),
                remaining: token.remaining,
            }),
            TakeAnswer::Denied => self.emit_denied(call, DenialReason::Exhausted),
            TakeAnswer::NoAccount => self.emit_denied(call, DenialReason::NoAccount),
            TakeAnswer::Late => self.emit_denied(call, DenialReason::Deadline),
        }
    }

    async fn ask_token(&self, account: NodeId, request: RequestId) -> Option<TokenReply> {
        let take_id = self.context.rng.borrow_mut().random::<u64>();
        if account == self.context.identity.node {
            return Some(self.take_own_token(request, take_id));
        }
        timeout(TAKE_TIMEOUT, self.ask_remote_token(account, request, take_id)).await.ok()?
    }

    async fn ask_remote_token(
        &self,
        account: NodeId,
        request: RequestId,
        take_id: u64,
    ) -> Option<TokenReply> {
        let link = self.links.get(account).await.ok()?;
        let mut take = link.client().take_retry_request();
        let (high, low) = split_id(request);
        take.get().set_request_high(high);
        take.get().set_request_low(low);
        take.get().set_take_id(take_id);
        self.context.count_asked(ControlKind::Account, TAKE_BYTES, WORD_BYTES);
        match take.send().promise.await {
            Ok(response) => {
                let response = response.get().ok()?;
                let answer = read_take_answer(response.get_answer()).ok()?;
                Some(TokenReply { answer, remaining: response.get_remaining() })
            }
            Err(_) => {
                self.links.failed(account, &link);
                None
            }
        }
    }
}
