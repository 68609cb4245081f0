//! What the upstream beside the node states about itself in its answers.

use coltsfoot_wire::peer::CallRequest;
use coltsfootroute::{
    event::EventKind,
    membership::InstanceName,
    time::MonotonicTime,
    upstream_limit::{LimitChange, RequestRate},
};

use super::call_guard::CallGuard;
use crate::{
    border::{StatedLimit, UpstreamStatement},
    clock::micros,
    metrics::ArrivalKind,
};

/// A call that was sent to the upstream.
pub(super) struct SentCall<'a> {
    pub(super) call: &'a CallRequest,
    /// Instance that the call was sent to.
    pub(super) instance: Option<InstanceName>,
    /// Number of that incarnation of the upstream, see [`CallGuard::incarnation_number`].
    pub(super) incarnation: u64,
    /// Time at which the call was sent.
    pub(super) sent: MonotonicTime,
}

impl CallGuard {
    /// Returns a number that changes with each incarnation of the upstream.
    pub(super) fn incarnation_number(&self) -> u64 {
        self.state.incarnation_number.get()
    }

    /// Begins another incarnation of the upstream: what an earlier one has stated does not apply to it.
    pub(super) fn begin_incarnation(&self) {
        self.state.incarnation_number.set(self.incarnation_number() + 1);
        self.state.limit.take();
        self.context.metrics.requests.set_upstream_limit(None);
    }

    /// Counts a call that is sent to the upstream.
    pub(super) fn count_arrival(&self, call: &CallRequest) {
        let kind = match (call.is_retry, call.under_way) {
            (true, _) => ArrivalKind::Repeat,
            (false, true) => ArrivalKind::Nested,
            (false, false) => ArrivalKind::First,
        };
        self.context.metrics.requests.arrived(kind);
    }

    /// Records what the upstream states in the head of its answer to `sent_call`.
    pub(super) fn record_statement(&self, sent_call: &SentCall<'_>, statement: UpstreamStatement) {
        if sent_call.incarnation != self.incarnation_number() {
            return;
        }
        match statement.limit {
            StatedLimit::Absent => self.record_limit(sent_call, None),
            StatedLimit::Rate(rate) => self.record_limit(sent_call, Some(rate)),
            StatedLimit::Unreadable(value) => {
                let SentCall { call, .. } = sent_call;
                let (request, service) = (call.request, call.service.clone());
                let event = EventKind::UpstreamLimitUnreadable { request, service, value };
                self.context.events.emit(event);
            }
        }
        if statement.is_leaving {
            self.record_answered_leave(sent_call);
        }
    }

    fn record_limit(&self, sent_call: &SentCall<'_>, named: Option<RequestRate>) {
        let now = self.context.now();
        let mut tracker = self.state.limit.borrow_mut();
        let previous = tracker.limit();
        let Some(change) = tracker.record_answer(now, sent_call.sent, named) else { return };
        drop(tracker);
        let limit = match change {
            LimitChange::Named(rate) => Some(rate),
            LimitChange::Lifted => None,
        };
        self.context.metrics.requests.set_upstream_limit(limit);
        self.context.events.emit(EventKind::UpstreamLimitChanged {
            request: sent_call.call.request,
            service: sent_call.call.service.clone(),
            instance: sent_call.instance.clone(),
            limit_milli: limit.map(|rate| rate.0),
            previous_milli: previous.map(|rate| rate.0),
            elapsed_us: micros(now.since(sent_call.sent)),
        });
    }

    /// Records that the upstream says that it is leaving; reported once for each incarnation.
    fn record_answered_leave(&self, sent_call: &SentCall<'_>) {
        let number = Some(sent_call.incarnation);
        if self.state.leave_reported.replace(number) == number {
            return;
        }
        self.context.events.emit(EventKind::UpstreamLeaveAnswered {
            request: sent_call.call.request,
            service: sent_call.call.service.clone(),
            instance: sent_call.instance.clone(),
        });
    }
}
