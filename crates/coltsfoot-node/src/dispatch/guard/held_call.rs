//! Calls that are not let through to the upstream, since the same has ended upstreams before.

use std::{rc::Rc, time::Duration};

use coltsfoot_wire::peer::{CallReply, CallRequest};
use coltsfootroute::outcome::{CallOutcome, RefusalReason};

use super::{call_guard::CallGuard, calls_in_flight::CallSpan, end_watch::content_of};
use crate::dispatch::links::HeldCall;

impl CallGuard {
    /// How long the call is held back; `None` if it may go on, if only as a trial.
    pub(super) fn held_back(&self, call: &CallRequest, span: &CallSpan) -> Option<Duration> {
        let fingerprint = || span.fingerprint(content_of(call));
        match self.quarantine.judge(call.request, fingerprint)? {
            HeldCall::Held(wait) => Some(wait),
            HeldCall::TrialDue(_) => None,
        }
    }

    /// The same just before the call is sent, when a trial that is due is claimed.
    pub(super) async fn held_at_last(
        &self,
        call: &CallRequest,
        span: &CallSpan,
    ) -> Option<Duration> {
        let fingerprint = || span.fingerprint(content_of(call));
        match self.quarantine.judge(call.request, fingerprint)? {
            HeldCall::Held(wait) => Some(wait),
            HeldCall::TrialDue(fingerprint) => {
                if self.quarantine.claim_trial(call.request, fingerprint).await {
                    return None;
                }
                self.held_back(call, span)
            }
        }
    }

    /// Refuses a call that is held back; its caller may ask again after `wait`.
    pub(super) fn refuse_held(self: &Rc<Self>, call: &CallRequest, wait: Duration) -> CallReply {
        self.context.metrics.requests.refused(RefusalReason::Quarantined, call.importance);
        CallReply::refusal(RefusalReason::Quarantined, CallOutcome::NotRun, wait)
    }
}
