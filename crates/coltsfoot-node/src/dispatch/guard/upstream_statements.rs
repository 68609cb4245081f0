//! What the upstream beside the node states about itself in its answers.

use std::{rc::Rc, time::Duration};

use coltsfoot_wire::peer::CallRequest;
use coltsfootroute::{
    event::EventKind,
    membership::InstanceName,
    time::MonotonicTime,
    upstream_limit::{LimitChange, RequestRate, UpstreamNotice},
};

use super::call_guard::CallGuard;
use crate::{
    border::{StatedLimit, UpstreamStatement},
    clock::micros,
    metrics::ArrivalKind,
};

/// Time for which callers are told that a limit was lifted, as long as they may remember it.
const LIFT_NOTICE_TIME: Duration = Duration::from_secs(60);

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
        self.state.unreadable_limit.take();
        let now = self.context.now();
        self.state.with_gate(|gate| gate.reset_upstream_limit(now));
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
    pub(super) fn record_statement(
        self: &Rc<Self>,
        sent_call: &SentCall<'_>,
        statement: UpstreamStatement,
    ) {
        if sent_call.incarnation != self.incarnation_number() {
            return;
        }
        match statement.limit {
            StatedLimit::Absent => self.record_limit(sent_call, None),
            StatedLimit::Rate(rate) => self.record_limit(sent_call, Some(rate)),
            StatedLimit::Unreadable(value) => self.report_unreadable(sent_call.call, value),
        }
        if statement.is_leaving {
            self.record_answered_leave(sent_call);
        }
    }

    /// Reports a limit that is no rate, unless it was the one reported last.
    fn report_unreadable(&self, call: &CallRequest, value: String) {
        let previous = self.state.unreadable_limit.replace(Some(value.clone()));
        if previous.as_ref() != Some(&value) {
            let (request, service) = (call.request, call.service.clone());
            self.context.events.emit(EventKind::UpstreamLimitUnreadable {
                request,
                service,
                value,
            });
        }
    }

    fn record_limit(&self, sent_call: &SentCall<'_>, named: Option<RequestRate>) {
        let now = self.context.now();
        let mut tracker = self.state.limit.borrow_mut();
        let previous = tracker.limit();
        let Some(change) = tracker.record_answer(now, sent_call.sent, named) else { return };
        drop(tracker);
        let limit = self.apply_limit(change);
        self.context.events.emit(EventKind::UpstreamLimitChanged {
            request: sent_call.call.request,
            service: sent_call.call.service.clone(),
            instance: sent_call.instance.clone(),
            limit_milli: limit.map(|rate| rate.0),
            previous_milli: previous.map(|rate| rate.0),
            elapsed_us: micros(now.since(sent_call.sent)),
        });
    }

    /// Applies a changed limit to the gate; returns the limit, `None` if it was lifted.
    fn apply_limit(&self, change: LimitChange) -> Option<RequestRate> {
        let limit = match change {
            LimitChange::Named(rate) => Some(rate),
            LimitChange::Lifted => None,
        };
        let now = self.context.now();
        self.state.with_gate(|gate| gate.set_upstream_limit(now, limit));
        self.state.queue_changed.notify_one();
        self.context.metrics.requests.set_upstream_limit(limit);
        limit
    }

    /// Returns what the upstream has stated, for callers; `None` if it has no name, or is neither limited nor leaving and
    /// no limit was lifted recently.
    pub(super) fn notice(&self) -> Option<UpstreamNotice> {
        let now = self.context.now();
        let tracker = self.state.limit.borrow();
        let limit = tracker.limit();
        let is_leaving = self.has_answered_leave();
        if limit.is_none() && !is_leaving && !tracker.is_lifted(now, LIFT_NOTICE_TIME) {
            return None;
        }
        let incarnation = self.state.upstream.borrow().as_ref()?.announcement.incarnation()?;
        Some(UpstreamNotice { incarnation, limit, is_leaving })
    }

    /// Adopts what a caller knows of the upstream from earlier answers. An earlier incarnation of this node may have
    /// passed them on.
    pub(super) fn adopt_notice(self: &Rc<Self>, call: &CallRequest, known: &UpstreamNotice) {
        let current = self.state.upstream.borrow().as_ref().and_then(|upstream| {
            let incarnation = upstream.announcement.incarnation();
            incarnation.filter(|incarnation| *incarnation == known.incarnation)
        });
        if current.is_none() {
            return;
        }
        let now = self.context.now();
        let change = known.limit.and_then(|rate| self.state.limit.borrow_mut().adopt(now, rate));
        if let Some(change) = change {
            self.apply_limit(change);
        }
        let is_leave_new = known.is_leaving && !self.has_answered_leave();
        if is_leave_new {
            self.begin_answered_leave();
        }
        if change.is_some() || is_leave_new {
            self.context.events.emit(EventKind::UpstreamNoticeAdopted {
                request: call.request,
                service: call.service.clone(),
                instance: known.incarnation.name.clone(),
                limit_milli: known.limit.map(|rate| rate.0),
                leaving: known.is_leaving,
            });
        }
    }

    /// Records that the upstream says in an answer that it is leaving.
    fn record_answered_leave(self: &Rc<Self>, sent_call: &SentCall<'_>) {
        if self.has_answered_leave() {
            return;
        }
        self.context.events.emit(EventKind::UpstreamLeaveAnswered {
            request: sent_call.call.request,
            service: sent_call.call.service.clone(),
            instance: sent_call.instance.clone(),
        });
        self.begin_answered_leave();
    }

    /// Returns whether this incarnation of the upstream has said in an answer that it is leaving.
    fn has_answered_leave(&self) -> bool {
        self.state.left_by_answer.get() == Some(self.incarnation_number())
    }

    /// Dispatches nothing more to this incarnation of the upstream, and records its leave outside this process. It holds
    /// for good: heartbeats of the incarnation that come later do not undo it.
    fn begin_answered_leave(self: &Rc<Self>) {
        let number = self.incarnation_number();
        self.state.left_by_answer.set(Some(number));
        self.mark_withdrawn();
        let upstream = self.state.upstream.borrow();
        let incarnation = upstream.as_ref().and_then(|known| known.announcement.incarnation());
        let guard = self.clone();
        tokio::task::spawn_local(async move {
            match incarnation {
                // Without an acknowledgement nobody repeats the leave: its row is written again until it stands.
                Some(incarnation) => drop(guard.handle_leave(incarnation).await),
                None if guard.incarnation_number() == number => {
                    drop(guard.withdraw_upstream().await);
                }
                None => {}
            }
        });
    }
}
