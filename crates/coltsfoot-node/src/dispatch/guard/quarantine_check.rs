//! Check of calls against the quarantine: requests that have crashed upstreams before are rejected.

use std::{rc::Rc, time::Duration};

use coltsfoot_wire::peer::{CallReply, CallRequest};
use coltsfootroute::outcome::{CallOutcome, RefusalReason};

use super::{call_guard::CallGuard, calls_in_flight::CallSpan, crash_detection::call_content};
use crate::dispatch::links::HeldCall;

impl CallGuard {
    /// Returns the time for which the call is quarantined; `None` if it may proceed, possibly only as a trial.
    pub(super) fn quarantine_delay(&self, call: &CallRequest, span: &CallSpan) -> Option<Duration> {
        let fingerprint = || span.fingerprint(call_content(call));
        match self.quarantine.judge(call.request, fingerprint)? {
            HeldCall::Held(wait) => Some(wait),
            HeldCall::TrialDue(_) => None,
        }
    }

    /// Checks again just before the call is sent, and claims a trial that is due. Returns the time for which the call
    /// is quarantined; `None` if it may be sent.
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

    /// Refuses a quarantined call; its caller may retry after `wait`.
    pub(super) fn refuse_quarantined(
        self: &Rc<Self>,
        call: &CallRequest,
        wait: Duration,
    ) -> CallReply {
        self.context.metrics.requests.refused(RefusalReason::Quarantined, call.importance);
        CallReply::refusal(RefusalReason::Quarantined, CallOutcome::NotRun, wait)
    }
}
