//! Tokens of retry accounts: acquired locally, or requested from the node that keeps the account.

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
        context::{TOKEN_REQUEST_BYTES, WORD_BYTES},
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

fn denial_answer(denial: AcquireDenial) -> TakeAnswer {
    match denial {
        AcquireDenial::UnknownAccount => TakeAnswer::NoAccount,
        AcquireDenial::BudgetSpent => TakeAnswer::Denied,
        AcquireDenial::DeadlinePassed => TakeAnswer::Late,
    }
}

/// Longest wait for the node that keeps the account; the call is not retried after it.
const ACQUIRE_TIMEOUT: Duration = Duration::from_millis(250);

impl CallIngress {
    /// Takes a token from a retry account kept at this node.
    pub fn acquire_own_token(&self, request: RequestId, take_id: u64) -> TokenReply {
        let mut accounts = self.accounts.borrow_mut();
        let answer = match accounts.acquire(self.context.now(), request, take_id) {
            AcquireResult::Granted => {
                self.context.metrics.retries.granted(accounts.granted(request).unwrap_or_default());
                TakeAnswer::Granted
            }
            AcquireResult::Denied(denial) => {
                self.context.metrics.retries.denied(denial_reason(denial));
                denial_answer(denial)
            }
        };
        TokenReply { answer, remaining: accounts.remaining(request).unwrap_or_default() }
    }

    /// Acquires a token for one retry of `call` from its account. Returns whether it was granted.
    pub(super) async fn acquire_token(&self, call: &RoutedCall) -> bool {
        if !self.context.control.is_on() {
            // With control off, for the uncontrolled half of a measurement, each hop retries, bounded by its policy.
            return true;
        }
        let Some(account) = call.account else {
            self.deny_retry(call, DenialReason::NoAccount);
            return false;
        };
        let token = self.request_token(account, call.request).await;
        self.record_token(call, token);
        token.is_some_and(|token| token.answer == TakeAnswer::Granted)
    }

    /// Records that a failed attempt is not retried, if the cause is a limit and not the answer.
    pub(super) fn record_give_up(&self, call: &RoutedCall, cause: GiveUpCause) {
        match cause {
            GiveUpCause::NotRepeatable => self.deny_retry(call, DenialReason::NonRepeatable),
            GiveUpCause::TooLate => self.deny_retry(call, DenialReason::Deadline),
            GiveUpCause::Shedding => self.deny_retry(call, DenialReason::Shedding),
            GiveUpCause::FailedBelow => self.deny_retry(call, DenialReason::FailedBelow),
            GiveUpCause::Completed | GiveUpCause::Final | GiveUpCause::AttemptsSpent => {}
        }
    }

    /// Records that the guard rejected a retry.
    pub(super) fn record_throttled(&self, call: &RoutedCall) {
        self.deny_retry(call, DenialReason::Throttled);
    }

    /// Records a denial by this node. Denials by the account are counted at the node that keeps it.
    fn deny_retry(&self, call: &RoutedCall, reason: DenialReason) {
        self.context.metrics.retries.denied(reason);
        self.emit_denied(call, reason);
    }

    fn emit_denied(&self, call: &RoutedCall, reason: DenialReason) {
        let (request, service) = (call.request, call.service.clone());
        self.context.events.emit(EventKind::RetryDenied { request, service, reason });
    }

    fn record_token(&self, call: &RoutedCall, token: Option<TokenReply>) {
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

    async fn request_token(&self, account: NodeId, request: RequestId) -> Option<TokenReply> {
        let take_id = self.context.rng.borrow_mut().random::<u64>();
        if account == self.context.identity.node {
            return Some(self.acquire_own_token(request, take_id));
        }
        timeout(ACQUIRE_TIMEOUT, self.request_remote_token(account, request, take_id)).await.ok()?
    }

    async fn request_remote_token(
        &self,
        account: NodeId,
        request: RequestId,
        take_id: u64,
    ) -> Option<TokenReply> {
        let link = self.links.get(account).await.ok()?;
        let mut acquire = link.client().take_retry_request();
        let (high, low) = split_id(request);
        acquire.get().set_request_high(high);
        acquire.get().set_request_low(low);
        acquire.get().set_take_id(take_id);
        self.context.count_sent_request(ControlKind::Account, TOKEN_REQUEST_BYTES, WORD_BYTES);
        match acquire.send().promise.await {
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
