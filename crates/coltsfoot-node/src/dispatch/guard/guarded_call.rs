//! Checks and admission of a call for the upstream beside the node.

use std::rc::Rc;

use coltsfoot_wire::peer::{CallReply, CallRequest, LevelNote};
use coltsfootroute::{
    admission::{AdmissionDecision, AdmissionGate, WaitingCall},
    event::EventKind,
    importance::Importance,
    membership::MemberRecord,
    name::ServiceName,
    outcome::{CallOutcome, RefusalReason},
    time::MonotonicTime,
    upstream_limit::RateLimiter,
};
use tokio::sync::oneshot;

use super::{
    call_guard::CallGuard,
    calls_in_flight::CallSpan,
    planned_stop::CallKind,
    run_permit::{RunPermit, WaitPermit},
};
use crate::border::RepeatGuard;

impl CallGuard {
    /// Checks a call for the upstream beside the node, waits for its admission and runs it.
    pub async fn guard_call(self: &Rc<Self>, call: CallRequest) -> CallReply {
        let arrived = self.context.now();
        let deadline = arrived + call.remaining;
        let entered = arrived - call.age;
        let (account, client) = (call.account, call.client);
        let span = CallSpan::new(call.request, call.importance, deadline, entered, account, client);
        let span = Rc::new(span.with_team(call.team.clone()).with_repeat(call.is_repeat));
        let (service, wants_load) = (call.service.clone(), call.wants_load);
        if let Some(known) = &call.known {
            self.adopt_notice(&call, known);
        }
        let mut reply = self.admit_and_run(call, deadline, &span).await;
        reply.failed_below = span.has_failed_below();
        reply.levels = span.levels();
        reply.levels.push(LevelNote {
            service,
            guard: self.context.identity.node,
            level: self.state.level(self.context.now()),
            rate_level: self.state.rate_level(),
        });
        reply.notice = self.notice();
        // Without control, calls pass the gate by, which then seems empty.
        if wants_load && self.context.control.is_on() {
            reply.occupancy = self.state.occupancy();
        }
        reply
    }

    async fn admit_and_run(
        self: &Rc<Self>,
        call: CallRequest,
        deadline: MonotonicTime,
        span: &Rc<CallSpan>,
    ) -> CallReply {
        let Some(started) = self.start_call(CallKind::Guarded) else {
            return self.refuse_guarded(&call, RefusalReason::Leaving);
        };
        let repeatable = match self.check_guarded(&call) {
            Ok(repeatable) => repeatable,
            Err(reason) => return self.refuse_guarded(&call, reason),
        };
        if let Some(wait) = self.quarantine_delay(&call, span) {
            return self.refuse_quarantined(&call, wait);
        }
        if !self.try_acquire_repeat(&call) {
            return self.refuse_guarded(&call, RefusalReason::RetryBudget);
        }
        let permit = match self.admit(&call, deadline, span.entered).await {
            Ok(permit) => permit,
            Err(reason) => {
                self.refund_repeat(&call);
                return self.refuse_guarded(&call, reason);
            }
        };
        // While the admitted call was queued, the quarantine of its request may have started.
        if let Some(wait) = self.claim_trial_or_delay(&call, span).await {
            self.refund_repeat(&call);
            return self.refuse_quarantined(&call, wait);
        }
        self.count_first_attempt(&call);
        if repeatable {
            return self.run(&call, deadline, span, permit).await;
        }
        // A run that must not be repeated continues if its caller disconnects: a partial run is of no use, and with an
        // idempotency key the answer is stored. The run counts as in flight until it ends.
        let (guard, span) = (self.clone(), span.clone());
        let run = async move {
            let _started = started;
            match guard.context.repeat_guard {
                RepeatGuard::Claims => {
                    Box::pin(guard.run_once(&call, deadline, &span, permit)).await
                }
                RepeatGuard::Attempts => guard.run(&call, deadline, &span, permit).await,
            }
        };
        match tokio::task::spawn_local(run).await {
            Ok(reply) => reply,
            Err(_) => self.refusal(RefusalReason::UpstreamFailed, CallOutcome::Unknown),
        }
    }

    /// Acquires a token from the bound on repeats if the call is a retry; returns whether the call may reach the
    /// upstream. All callers share the bound, so that a caller with few calls is not limited to the tokens that those
    /// have earned.
    fn try_acquire_repeat(&self, call: &CallRequest) -> bool {
        // With control switched off, as in the uncontrolled part of a measurement, retries at each hop are bounded only
        // by their policy.
        if !call.is_retry || !self.context.control.is_on() {
            return true;
        }
        self.throttle.borrow_mut().try_retry(self.context.now(), call.importance)
    }

    /// Updates the known guards if `members` belong to the upstream's own service: each of them bounds the repeats of
    /// the service in the same way.
    pub fn note_members(&self, service: &ServiceName, members: &[MemberRecord]) {
        let upstream = self.state.upstream.borrow();
        let is_own =
            upstream.as_ref().is_some_and(|upstream| upstream.announcement.service == *service);
        let now = self.context.now();
        if is_own && self.guards.borrow_mut().update(now, members) {
            self.throttle.borrow_mut().record_guard_change(now);
        }
    }

    /// Counts an admitted first attempt, which earns a share of a token for repeats. An attempt that a full guard
    /// refuses is sent to other guards, and would earn a share at each if refused attempts counted. A first attempt
    /// nested below repeated work is charged as a repeat too.
    fn count_first_attempt(&self, call: &CallRequest) {
        if call.is_retry {
            return;
        }
        let now = self.context.now();
        let mut throttle = self.throttle.borrow_mut();
        throttle.record_call(now);
        if call.is_repeat {
            throttle.charge(now);
        }
    }

    /// Refunds the token of a granted repeat that has not reached the upstream.
    fn refund_repeat(&self, call: &CallRequest) {
        if call.is_retry {
            self.throttle.borrow_mut().refund(self.context.now(), call.importance);
        }
    }

    /// Refuses a call that did not reach the upstream; counts the refusal and emits an event with the state of the
    /// gate.
    fn refuse_guarded(&self, call: &CallRequest, reason: RefusalReason) -> CallReply {
        let gate = self.state.gate.borrow();
        let load = gate.as_ref().map(|gate| (gate.in_flight(), gate.limit(), gate.queued()));
        let (in_flight, limit, queued) = load.unwrap_or_default();
        let rate = gate.as_ref().map(AdmissionGate::rate);
        self.context.events.emit(EventKind::GuardRefused {
            request: call.request,
            service: call.service.clone(),
            importance: call.importance,
            reason,
            in_flight,
            limit,
            queued,
            upstream_limit_milli: rate.and_then(RateLimiter::limit).map(|limit| limit.0),
            upstream_tokens_milli: rate.and_then(RateLimiter::tokens_milli),
        });
        self.refuse(call.importance, reason)
    }

    fn check_guarded(&self, call: &CallRequest) -> Result<bool, RefusalReason> {
        let repeatable = self.check_operation(call)?;
        match &*self.state.upstream.borrow() {
            Some(upstream) if upstream.leaving => Err(RefusalReason::Leaving),
            Some(upstream) if upstream.announcement.service == call.service => Ok(repeatable),
            _ => Err(RefusalReason::NoUpstream),
        }
    }

    /// Returns whether the operation is repeatable, or the reason to refuse the call.
    fn check_operation(&self, call: &CallRequest) -> Result<bool, RefusalReason> {
        let config = self.context.config.in_force();
        let operation = config
            .as_ref()
            .map_err(|reason| *reason)
            .and_then(|config| config.operation(&call.service, &call.operation));
        match (self.context.repeat_guard, operation) {
            // The caller has checked the call against its configuration, which may be newer than this node's.
            (RepeatGuard::Attempts, operation) => {
                Ok(operation.is_ok_and(|operation| operation.repeatable))
            }
            (RepeatGuard::Claims, Ok(operation)) if operation.repeatable || call.key.is_some() => {
                Ok(operation.repeatable)
            }
            (RepeatGuard::Claims, Ok(_)) => Err(RefusalReason::BadRequest),
            (RepeatGuard::Claims, Err(reason)) => Err(reason),
        }
    }

    /// Waits for the gate's verdict. Dropping the future withdraws the call.
    async fn admit(
        self: &Rc<Self>,
        call: &CallRequest,
        deadline: MonotonicTime,
        entered: MonotonicTime,
    ) -> Result<RunPermit, RefusalReason> {
        let id = self.next_id();
        if !self.context.control.is_on() {
            return Ok(RunPermit::without_gate());
        }
        let (sender, receiver) = oneshot::channel();
        self.state.waiting.borrow_mut().insert(id, sender);
        let wait = WaitPermit::new(self.clone(), id);
        let waiting = WaitingCall {
            id,
            importance: call.importance,
            deadline,
            client: call.client,
            entered,
            under_way: call.under_way,
        };
        let now = self.context.now();
        self.state.with_gate(|gate| gate.offer(now, waiting));
        self.state.queue_changed.notify_one();
        let decision = receiver.await;
        self.count_decision(call, decision.as_ref().ok().copied());
        match decision {
            Ok(AdmissionDecision::Run) => {
                self.note_age(entered);
                Ok(wait.into_run())
            }
            Ok(AdmissionDecision::Refuse(reason)) => Err(reason),
            Err(_) => Err(RefusalReason::NoUpstream),
        }
    }

    fn note_age(&self, entered: MonotonicTime) {
        if self.context.scheduling.request_age {
            self.context.metrics.requests.request_age(self.context.now().since(entered));
        }
    }

    fn count_decision(&self, call: &CallRequest, decision: Option<AdmissionDecision>) {
        let now = self.context.now();
        let mut breaches = self.state.breaches.borrow_mut();
        match decision {
            Some(AdmissionDecision::Run) => {
                breaches.on_admission(now, &call.service, call.importance);
                self.context.metrics.requests.admitted(call.importance);
                self.emit_admitted(call);
            }
            Some(AdmissionDecision::Refuse(
                RefusalReason::Overload | RefusalReason::UpstreamLimit,
            )) => {
                let admitted = breaches.admitted_below(now, &call.service, call.importance);
                if let Some(admitted) = admitted {
                    self.report_breach(call, admitted);
                }
            }
            _ => {}
        }
    }

    fn emit_admitted(&self, call: &CallRequest) {
        let gate = self.state.gate.borrow();
        let Some(gate) = gate.as_ref() else { return };
        self.context.events.emit(EventKind::RequestAdmitted {
            request: call.request,
            service: call.service.clone(),
            operation: call.operation.clone(),
            importance: call.importance,
            in_flight: gate.in_flight(),
            limit: gate.limit(),
        });
    }

    /// Reports that a call was refused for overload although a less important one was admitted.
    fn report_breach(&self, call: &CallRequest, admitted: Importance) {
        self.context.metrics.requests.importance_breached();
        self.context.events.emit(EventKind::ImportanceBreached {
            request: call.request,
            service: call.service.clone(),
            refused: call.importance,
            admitted,
        });
    }
}
