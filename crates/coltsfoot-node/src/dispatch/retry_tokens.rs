//! Tokens of retry accounts: taken here, or asked of the node that keeps the account.

use std::time::Duration;

use coltsfoot_wire::peer::{TakeAnswer, read_take_answer, split_id};
use coltsfootroute::{
    event::DenialReason,
    id::{NodeId, RequestId},
    name::ServiceName,
    retry::{ServiceThrottle, TakeAnswer as LedgerAnswer, TakeDenial, ThrottleSettings},
};
use rand::RngExt;
use tokio::time::timeout;

use super::{
    control_traffic::{TAKE_BYTES, WORD_BYTES},
    dispatcher::Dispatcher,
    routed_call::RoutedCall,
};
use crate::metrics::ControlKind;

fn denial_reason(denial: TakeDenial) -> DenialReason {
    match denial {
        TakeDenial::UnknownAccount => DenialReason::NoAccount,
        TakeDenial::BudgetSpent => DenialReason::Exhausted,
        TakeDenial::DeadlinePassed => DenialReason::Deadline,
    }
}

/// Longest wait for the account's node; after it there is no retry.
const TAKE_TIMEOUT: Duration = Duration::from_millis(250);

impl Dispatcher {
    /// Takes a token from a retry account kept at this node.
    pub(super) fn take_own_token(&self, request: RequestId, take_id: u64) -> TakeAnswer {
        let mut accounts = self.accounts.borrow_mut();
        match accounts.take(self.clock.now(), request, take_id) {
            LedgerAnswer::Granted => {
                self.metrics.retries.granted(accounts.granted(request).unwrap_or_default());
                TakeAnswer::Granted
            }
            LedgerAnswer::Denied(denial) => {
                self.metrics.retries.denied(denial_reason(denial));
                match denial {
                    TakeDenial::UnknownAccount => TakeAnswer::NoAccount,
                    _ => TakeAnswer::Denied,
                }
            }
        }
    }

    /// Takes a token for one retry of `call`, from the service's throttle and from the account.
    pub(super) async fn take_token(&self, call: &RoutedCall) -> bool {
        if !self.control.is_on() {
            // The uncontrolled half of a measurement retries at each hop, bounded by its policy.
            return true;
        }
        let Some(account) = call.account else { return false };
        let now = self.clock.now();
        if !self.with_throttle(&call.service, |throttle| throttle.try_retry(now)) {
            self.metrics.retries.denied(DenialReason::Throttled);
            return false;
        }
        let granted = self.ask_token(account, call.request).await == Some(TakeAnswer::Granted);
        if !granted {
            self.with_throttle(&call.service, ServiceThrottle::give_back);
        }
        granted
    }

    async fn ask_token(&self, account: NodeId, request: RequestId) -> Option<TakeAnswer> {
        let take_id = self.rng.borrow_mut().random::<u64>();
        if account == self.identity.node {
            return Some(self.take_own_token(request, take_id));
        }
        timeout(TAKE_TIMEOUT, self.ask_remote_token(account, request, take_id)).await.ok()?
    }

    async fn ask_remote_token(
        &self,
        account: NodeId,
        request: RequestId,
        take_id: u64,
    ) -> Option<TakeAnswer> {
        let link = self.links.get(account).await.ok()?;
        let mut take = link.client().take_retry_request();
        let (high, low) = split_id(request);
        take.get().set_request_high(high);
        take.get().set_request_low(low);
        take.get().set_take_id(take_id);
        self.count_asked(ControlKind::Account, TAKE_BYTES, WORD_BYTES);
        match take.send().promise.await {
            Ok(response) => read_take_answer(response.get().ok()?.get_answer()).ok(),
            Err(_) => {
                self.links.failed(account, &link);
                None
            }
        }
    }

    /// Counts a first attempt, which earns the service a share of a retry.
    pub(super) fn count_first_attempt(&self, service: &ServiceName) {
        self.with_throttle(service, ServiceThrottle::call);
    }

    fn with_throttle<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut ServiceThrottle) -> T,
    ) -> T {
        let now = self.clock.now();
        let mut throttles = self.throttles.borrow_mut();
        let throttle = throttles
            .entry(service.clone())
            .or_insert_with(|| ServiceThrottle::new(now, ThrottleSettings::default()));
        act(throttle)
    }
}
