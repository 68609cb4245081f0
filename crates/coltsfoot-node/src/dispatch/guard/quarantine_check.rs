//! Calls that are not let through to the upstream, since the same has ended upstreams before.

use std::{rc::Rc, time::Duration};

use coltsfoot_wire::peer::{CallReply, CallRequest};
use coltsfootroute::outcome::{CallOutcome, RefusalReason};

use super::{call_guard::CallGuard, calls_in_flight::CallSpan, crash_detection::call_content};
use crate::dispatch::links::HeldCall;

impl CallGuard {
    /// How long the call is held back; `None` if it may go on, if only as a trial.
    pub(super) fn quarantine_delay(&self, call: &CallRequest, span: &CallSpan) -> Option<Duration> {
        let fingerprint = || span.fingerprint(call_content(call));
        match self.quarantine.judge(call.request, fingerprint)? {
            HeldCall::Held(wait) => Some(wait),
            HeldCall::TrialDue(_) => None,
        }
    }

    /// The same just before the call is sent, when a trial that is due is claimed.
    pub(super) async fn claim_trial_or_delay(
        &self,
        call: &CallRequest,
        span: &CallSpan,
    ) -> Option<Duration> {
        let fingerprint = || span.fingerprint(call_content(call));
        match self.quarantine.judge(call.request, fingerprint)? {
            HeldCall::Held(wait) => Some(wait),
            HeldCall::TrialDue(fingerprint) => {
                if self.quarantine.claim_trial(call.request, fingerprint).await {
                    return None;
                }
                self.quarantine_delay(call, span)
            }
        }
    }

    /// Refuses a call that is held back; its caller may ask again after `wait`.
    pub(super) fn refuse_quarantined(
        self: &Rc<Self>,
        call: &CallRequest,
        wait: Duration,
    ) -> CallReply {
        self.context.metrics.requests.refused(RefusalReason::Quarantined, call.importance);
        CallReply::refusal(RefusalReason::Quarantined, CallOutcome::NotRun, wait)
    }
}
