//! The guard: admission in front of the upstream beside the node, and the run itself.

use std::{cell::RefCell, rc::Rc, time::Duration};

use bytes::Bytes;
use coltsfoot_wire::peer::{CallReply, CallRequest, LevelNote, ReplyBody};
use coltsfootroute::{
    admission::{
        AdmissionDecision, AdmissionGate, AdmissionSettings, AdmissionVerdict, BreachCounter,
        CallFinish, ShedLevel, WaitingCall,
    },
    constants::CALL_PATH_PREFIX,
    outcome::{CallOutcome, RefusalReason},
    time::MonotonicTime,
};
use indexmap::IndexMap;
use tokio::{
    sync::{Notify, oneshot},
    time::{sleep_until, timeout_at},
};

use super::{
    calls_in_flight::{CallSpan, context_text},
    dispatcher::{CallKind, Dispatcher},
    local_upstream::UpstreamAnnouncement,
    run_permit::{RunPermit, WaitPermit},
    upstream_client::{UpstreamAnswer, UpstreamCall, UpstreamError},
};

/// First status of answers that say that the upstream failed.
const FIRST_SERVER_ERROR: u16 = 500;

/// The upstream beside the node, as announced.
pub struct GuardedUpstream {
    /// What it said of itself last.
    pub announcement: UpstreamAnnouncement,
    /// When it said so.
    pub heard: MonotonicTime,
    /// Whether it leaves, or its node does: no new work.
    pub leaving: bool,
    /// Whether it has said itself that it leaves, or fallen silent: also work taken in before that is
    /// not dispatched any more. A leave of the node alone lets such work run.
    pub has_withdrawn: bool,
}

/// Admission in front of the upstream beside the node.
#[derive(Default)]
pub struct GuardState {
    pub(super) upstream: RefCell<Option<GuardedUpstream>>,
    pub(super) gate: RefCell<Option<AdmissionGate>>,
    /// Calls offered to the gate that have no verdict yet.
    pub(super) waiting: RefCell<IndexMap<u64, oneshot::Sender<AdmissionDecision>>>,
    pub(super) breaches: RefCell<BreachCounter>,
    /// Woken when the gate's next wake-up may have changed.
    pub(super) queue_changed: Notify,
}

impl GuardState {
    /// Hands verdicts to the calls that wait for them.
    pub(super) fn deliver(&self, verdicts: Vec<AdmissionVerdict>) {
        for verdict in verdicts {
            let waiter = self.waiting.borrow_mut().swap_remove(&verdict.id);
            if let Some(waiter) = waiter {
                // A caller that is gone has withdrawn its call from the gate, or is about to.
                let _ = waiter.send(verdict.decision);
            }
        }
    }

    /// Level of the gate; open while there is none.
    pub(super) fn level(&self, now: MonotonicTime) -> ShedLevel {
        self.gate.borrow().as_ref().map_or(ShedLevel::OPEN, |gate| gate.shed_level(now))
    }

    /// Lets the gate act, and hands out what it decides.
    pub(super) fn with_gate(&self, act: impl FnOnce(&mut AdmissionGate) -> Vec<AdmissionVerdict>) {
        let verdicts = self.gate.borrow_mut().as_mut().map(act).unwrap_or_default();
        self.deliver(verdicts);
    }
}

impl Dispatcher {
    /// Serves a call for the upstream beside the node.
    pub(super) async fn guard_call(self: &Rc<Self>, call: CallRequest) -> CallReply {
        let arrived = self.clock.now();
        let deadline = arrived + call.remaining;
        let span = Rc::new(CallSpan::new(
            call.request,
            call.importance,
            deadline,
            call.account,
            call.client,
        ));
        let service = call.service.clone();
        let mut reply = self.admit_and_run(call, deadline, &span).await;
        reply.levels = span.levels();
        reply.levels.push(LevelNote {
            service,
            guard: self.identity.node,
            level: self.guard.level(self.clock.now()),
        });
        reply
    }

    async fn admit_and_run(
        self: &Rc<Self>,
        call: CallRequest,
        deadline: MonotonicTime,
        span: &Rc<CallSpan>,
    ) -> CallReply {
        let Some(started) = self.start_call(CallKind::Guarded) else {
            return self.refuse(call.importance, RefusalReason::Leaving);
        };
        let repeatable = match self.check_guarded(&call) {
            Ok(repeatable) => repeatable,
            Err(reason) => return self.refuse(call.importance, reason),
        };
        let permit = match self.admit(&call, deadline).await {
            Ok(permit) => permit,
            Err(reason) => return self.refuse(call.importance, reason),
        };
        if repeatable {
            return self.run(&call, deadline, span, permit).await;
        }
        // A run that must not be repeated goes on when its caller is gone, so that its answer is kept; it
        // counts as in flight until then.
        let (dispatcher, span) = (self.clone(), span.clone());
        let run = async move {
            let _started = started;
            dispatcher.run_once(&call, deadline, &span, permit).await
        };
        match tokio::task::spawn_local(run).await {
            Ok(reply) => reply,
            Err(_) => self.refusal(RefusalReason::UpstreamFailed, CallOutcome::Unknown),
        }
    }

    fn check_guarded(&self, call: &CallRequest) -> Result<bool, RefusalReason> {
        let config = self.config.load().ok_or(RefusalReason::NoConfiguration)?;
        let operation = config
            .operation(&call.service, &call.operation)
            .ok_or(RefusalReason::UnknownOperation)?;
        if !operation.repeatable && call.key.is_none() {
            return Err(RefusalReason::BadRequest);
        }
        match &*self.guard.upstream.borrow() {
            Some(upstream) if upstream.leaving => Err(RefusalReason::Leaving),
            Some(upstream) if upstream.announcement.service == call.service => {
                Ok(operation.repeatable)
            }
            _ => Err(RefusalReason::NoUpstream),
        }
    }

    /// Waits for the gate's verdict. Dropping the future withdraws the call.
    async fn admit(
        self: &Rc<Self>,
        call: &CallRequest,
        deadline: MonotonicTime,
    ) -> Result<RunPermit, RefusalReason> {
        let id = self.next_id();
        if !self.control.is_on() {
            return Ok(RunPermit::without_gate());
        }
        let (sender, receiver) = oneshot::channel();
        self.guard.waiting.borrow_mut().insert(id, sender);
        let wait = WaitPermit::new(self.clone(), id);
        let waiting = WaitingCall {
            id,
            importance: call.importance,
            deadline,
            client: call.client,
            under_way: call.under_way,
        };
        let now = self.clock.now();
        self.guard.with_gate(|gate| gate.offer(now, waiting));
        self.guard.queue_changed.notify_one();
        let decision = receiver.await;
        self.count_decision(call, decision.as_ref().ok().copied());
        match decision {
            Ok(AdmissionDecision::Run) => Ok(wait.into_run()),
            Ok(AdmissionDecision::Refuse(reason)) => Err(reason),
            Err(_) => Err(RefusalReason::NoUpstream),
        }
    }

    fn count_decision(&self, call: &CallRequest, decision: Option<AdmissionDecision>) {
        let now = self.clock.now();
        let mut breaches = self.guard.breaches.borrow_mut();
        match decision {
            Some(AdmissionDecision::Run) => {
                breaches.on_admission(now, &call.service, call.importance);
                self.metrics.requests.admitted(call.importance);
            }
            Some(AdmissionDecision::Refuse(RefusalReason::Overload))
                if breaches.on_refusal(now, &call.service, call.importance) =>
            {
                self.metrics.requests.importance_breached();
            }
            _ => {}
        }
    }

    /// Runs a call on the upstream. Dropping the future stops the upstream's work.
    pub(super) async fn run(
        self: &Rc<Self>,
        call: &CallRequest,
        deadline: MonotonicTime,
        span: &Rc<CallSpan>,
        permit: RunPermit,
    ) -> CallReply {
        let Some(address) = self.upstream_address() else {
            permit.finish(CallFinish::Failed);
            return self.refusal(RefusalReason::NoUpstream, CallOutcome::NotRun);
        };
        // The wait for a slot or a claim may have been long.
        if self.has_withdrawn() {
            return self.refusal(RefusalReason::Leaving, CallOutcome::NotRun);
        }
        let context = self.spans.enter(&mut *self.rng.borrow_mut(), span.clone());
        let _entered = EnteredSpan { dispatcher: self, context };
        let upstream_call = UpstreamCall {
            path: format!("{CALL_PATH_PREFIX}{}/{}", call.service, call.operation),
            context: context_text(context),
            remaining_ms: self.remaining_ms(deadline),
            key: call.key.as_deref(),
            content_type: &call.content_type,
            body: Bytes::copy_from_slice(&call.body),
        };
        let started = self.clock.now();
        let until = self.clock.instant_at(deadline).into();
        let result = timeout_at(until, self.upstream_client.send(address, upstream_call)).await;
        let upstream_time = self.clock.now().since(started);
        let Ok(result) = result else {
            permit.finish(CallFinish::TimedOut);
            return self.refusal(RefusalReason::Deadline, CallOutcome::Unknown);
        };
        permit.finish(call_finish(&result));
        self.run_reply(result, span, upstream_time)
    }

    fn run_reply(
        &self,
        result: Result<UpstreamAnswer, UpstreamError>,
        span: &CallSpan,
        upstream_time: Duration,
    ) -> CallReply {
        let (reason, ran) = match result {
            Ok(answer) => return answer_reply(answer, upstream_time),
            Err(UpstreamError::Unreachable) => (RefusalReason::NoUpstream, false),
            // An upstream that made nested calls has run the request in part, whatever it says.
            Err(UpstreamError::Shed) => (RefusalReason::Overload, span.may_have_nested()),
            Err(UpstreamError::CutOff) => (RefusalReason::UpstreamFailed, true),
        };
        let outcome = if ran { CallOutcome::Unknown } else { CallOutcome::NotRun };
        self.refusal(reason, outcome)
    }

    fn upstream_address(&self) -> Option<std::net::SocketAddr> {
        self.guard.upstream.borrow().as_ref().map(|upstream| upstream.announcement.address)
    }

    fn has_withdrawn(&self) -> bool {
        self.guard.upstream.borrow().as_ref().is_some_and(|upstream| upstream.has_withdrawn)
    }

    /// Creates the gate, or adapts it to what the upstream says of itself.
    pub(super) fn fit_gate(&self, slots: u32) {
        let now = self.clock.now();
        let fresh = self.guard.gate.borrow().is_none();
        if fresh {
            let gate = AdmissionGate::new(AdmissionSettings::new(slots));
            *self.guard.gate.borrow_mut() = Some(gate);
        } else {
            self.guard.with_gate(|gate| gate.set_slots(now, slots));
        }
    }

    /// Wakes the gate when a queued call expires.
    pub(super) async fn tick_gate(self: Rc<Self>) {
        loop {
            let wakeup = self.guard.gate.borrow().as_ref().and_then(AdmissionGate::next_wakeup);
            match wakeup {
                Some(at) => tokio::select! {
                    () = sleep_until(self.clock.instant_at(at).into()) => {
                        let now = self.clock.now();
                        self.guard.with_gate(|gate| gate.tick(now));
                    }
                    () = self.guard.queue_changed.notified() => {}
                },
                None => self.guard.queue_changed.notified().await,
            }
        }
    }
}

struct EnteredSpan<'a> {
    dispatcher: &'a Dispatcher,
    context: u128,
}

impl Drop for EnteredSpan<'_> {
    fn drop(&mut self) {
        self.dispatcher.spans.leave(self.context);
    }
}

/// A complete answer that says that the upstream failed leaves open how far the run came.
pub(super) fn answer_outcome(status: u16) -> CallOutcome {
    if status >= FIRST_SERVER_ERROR { CallOutcome::Unknown } else { CallOutcome::Completed }
}

fn answer_reply(answer: UpstreamAnswer, upstream_time: Duration) -> CallReply {
    CallReply {
        outcome: answer_outcome(answer.status),
        body: ReplyBody::Answer {
            status: answer.status,
            content_type: answer.content_type,
            body: answer.body,
            replayed: false,
        },
        levels: Vec::new(),
        upstream_time,
    }
}

fn call_finish(result: &Result<UpstreamAnswer, UpstreamError>) -> CallFinish {
    match result {
        Ok(answer) if answer.status < FIRST_SERVER_ERROR => CallFinish::Succeeded,
        Ok(_) | Err(UpstreamError::CutOff | UpstreamError::Unreachable) => CallFinish::Failed,
        Err(UpstreamError::Shed) => CallFinish::ShedByUpstream,
    }
}
