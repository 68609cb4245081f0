//! Execution of an admitted call on the upstream beside the node.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use coltsfoot_wire::peer::{CallReply, CallRequest, ReplyBody};
use coltsfootroute::{
    admission::CallFinish,
    constants::CALL_PATH_PREFIX,
    deadline::Remaining,
    event::{EventKind, HybridStamp},
    membership::{InstanceIncarnation, InstanceName},
    name::TeamName,
    outcome::{CallOutcome, RefusalReason},
    retry::ArrivalNumber,
    time::MonotonicTime,
};
use tokio::time::{error::Elapsed, timeout_at};

use super::{
    call_guard::CallGuard,
    calls_in_flight::{CallSpan, context_text},
    run_permit::RunPermit,
    upstream_arrival::UpstreamArrival,
    upstream_client::{UpstreamAnswer, UpstreamCall, UpstreamError},
    upstream_statements::SentCall,
};
use crate::clock::micros;

/// Lowest HTTP status that reports a failure of the upstream.
const FIRST_SERVER_ERROR: u16 = 500;

impl CallGuard {
    /// Runs a call on the upstream. Dropping the future cancels the upstream's work.
    pub(super) async fn run(
        self: &Rc<Self>,
        call: &CallRequest,
        deadline: MonotonicTime,
        span: &Rc<CallSpan>,
        permit: RunPermit,
    ) -> CallReply {
        let Some((address, upstream)) = self.upstream_address() else {
            permit.finish(CallFinish::Failed);
            return self.refusal(RefusalReason::NoUpstream, CallOutcome::NotRun);
        };
        let instance = upstream.as_ref().map(|upstream| upstream.name.clone());
        // The upstream may have left while the call waited for a slot or a claim.
        if self.has_withdrawn() {
            return self.refusal(RefusalReason::Leaving, CallOutcome::NotRun);
        }
        // The deadline may have passed while the host was suspended: the call's timer can still be pending then.
        if self.context.now() >= deadline {
            return self.refusal(RefusalReason::Deadline, CallOutcome::NotRun);
        }
        let own = call.head.as_ref().and_then(|head| self.upstream_client.context_of(head));
        let context = self.spans.insert(own, &mut *self.context.rng.borrow_mut(), span.clone());
        let mut running = RunningSpan { guard: self, context, span, answered: false };
        let upstream_call = UpstreamCall {
            head: call.head.as_ref(),
            instance: instance.as_ref().map(InstanceName::as_str),
            path: format!("{CALL_PATH_PREFIX}{}/{}", call.service, call.operation),
            context: context_text(context),
            remaining_ms: Remaining::until(self.context.now(), deadline).0,
            team: call.team.as_ref().map(TeamName::as_str),
            key: call.key.as_deref(),
            content_type: &call.content_type,
            body: call.body.clone(),
        };
        let started = self.context.now();
        let until = self.context.clock.instant_at(deadline).into();
        let incarnation = self.incarnation_number();
        let sent_call = SentCall { call, instance: instance.clone(), incarnation, sent: started };
        self.count_arrival(call);
        let arrival = UpstreamArrival::new(self.number_arrival(own, deadline));
        let observe = |statement| self.record_statement(&sent_call, statement);
        let sending = self.upstream_client.send(address, upstream_call, &arrival, observe);
        let result = timeout_at(until, sending).await;
        let upstream_time = self.context.now().since(started);
        running.answered = result.is_ok();
        match &result {
            Ok(Ok(_)) => self.record_answer(call, span),
            Ok(Err(UpstreamError::CutOff | UpstreamError::OtherCall)) => {
                self.record_interrupted_call(call, span, address, upstream)
            }
            Ok(Err(_)) | Err(_) => {}
        }
        self.report_arrival(call, &result, instance, &arrival, upstream_time);
        let Ok(result) = result else {
            permit.finish(CallFinish::TimedOut);
            let reply = self.refusal(RefusalReason::Deadline, CallOutcome::Unknown);
            return CallReply { reached_upstream: true, ..reply };
        };
        permit.finish(call_finish(&result));
        let reached_upstream = !matches!(result, Err(UpstreamError::Unreachable));
        CallReply { reached_upstream, ..self.run_reply(result, span, upstream_time) }
    }

    /// Counts an arrival of the request with the context `own`; returns its number, or `None` if the request has no
    /// identity.
    fn number_arrival(&self, own: Option<u128>, deadline: MonotonicTime) -> Option<ArrivalNumber> {
        // The lower half of a hash is a hash.
        let request = own? as u64;
        Some(self.arrivals.borrow_mut().count(self.context.now(), request, deadline))
    }

    /// Emits an event with what became of an arrival, unless it was the request's first and went well.
    fn report_arrival(
        &self,
        call: &CallRequest,
        result: &Result<Result<UpstreamAnswer, UpstreamError>, Elapsed>,
        instance: Option<InstanceName>,
        arrival: &UpstreamArrival,
        upstream_time: Duration,
    ) {
        let error = match result {
            Ok(Ok(answer)) => {
                return self.report_answer(call, answer, instance, arrival, upstream_time);
            }
            Ok(Err(err)) => err.to_string(),
            Err(_) => "no answer before the deadline".to_owned(),
        };
        if let Ok(Err(UpstreamError::OtherCall)) = result {
            self.context.metrics.requests.answer_mismatched();
        }
        self.context.events.emit(EventKind::UpstreamCallFailed {
            request: call.request,
            service: call.service.clone(),
            error,
            instance,
            arrival: arrival.number(),
            connection: arrival.local_port(),
            elapsed_us: micros(upstream_time),
        });
    }

    fn report_answer(
        &self,
        call: &CallRequest,
        answer: &UpstreamAnswer,
        instance: Option<InstanceName>,
        arrival: &UpstreamArrival,
        upstream_time: Duration,
    ) {
        let is_first = arrival.number().is_none_or(|number| number == ArrivalNumber::FIRST);
        if is_first && answer.status < FIRST_SERVER_ERROR {
            return;
        }
        self.context.events.emit(EventKind::UpstreamCallAnswered {
            request: call.request,
            service: call.service.clone(),
            status: answer.status,
            instance,
            arrival: arrival.number(),
            connection: arrival.local_port(),
            elapsed_us: micros(upstream_time),
        });
    }

    fn run_reply(
        &self,
        result: Result<UpstreamAnswer, UpstreamError>,
        span: &CallSpan,
        upstream_time: Duration,
    ) -> CallReply {
        let (reason, ran) = match result {
            Ok(answer) => return answer_reply(answer, upstream_time),
            Err(UpstreamError::Unreachable | UpstreamError::OtherInstance) => {
                (RefusalReason::NoUpstream, false)
            }
            // An upstream that made nested calls has run the request in part, even if it reports that it shed the call.
            Err(UpstreamError::Shed) => (RefusalReason::Overload, span.may_have_nested()),
            Err(
                UpstreamError::CutOff
                | UpstreamError::OtherCall
                | UpstreamError::NoAnswer
                | UpstreamError::Unheld,
            ) => (RefusalReason::UpstreamFailed, true),
        };
        let outcome = if ran { CallOutcome::Unknown } else { CallOutcome::NotRun };
        self.refusal(reason, outcome)
    }

    fn upstream_address(&self) -> Option<(SocketAddr, Option<InstanceIncarnation>)> {
        let upstream = self.state.upstream.borrow();
        let announcement = &upstream.as_ref()?.announcement;
        Some((announcement.address, announcement.incarnation()))
    }

    /// Returns whether the upstream has announced its leave, or its heartbeats have stopped.
    pub(super) fn has_withdrawn(&self) -> bool {
        self.state.upstream.borrow().as_ref().is_some_and(|upstream| upstream.has_withdrawn)
    }
}

/// A call that the upstream is processing. If dropped before the answer, its nested calls are cancelled too.
struct RunningSpan<'a> {
    guard: &'a CallGuard,
    context: u128,
    span: &'a CallSpan,
    answered: bool,
}

impl Drop for RunningSpan<'_> {
    fn drop(&mut self) {
        self.guard.spans.remove(self.context, self.span);
        if !self.answered {
            self.span.cancel();
        }
    }
}

/// Returns the outcome of a complete answer with `status`. It is unknown for a server error, which doesn't say how far
/// the run got.
pub(super) fn answer_outcome(status: u16) -> CallOutcome {
    if status >= FIRST_SERVER_ERROR { CallOutcome::Unknown } else { CallOutcome::Completed }
}

fn answer_reply(answer: UpstreamAnswer, upstream_time: Duration) -> CallReply {
    CallReply {
        reached_upstream: true,
        failed_below: false,
        outcome: answer_outcome(answer.status),
        body: ReplyBody::Answer {
            status: answer.status,
            content_type: answer.content_type,
            headers: answer.headers,
            body: answer.body,
            replayed: false,
        },
        levels: Vec::new(),
        upstream_time,
        notice: None,
        occupancy: None,
        stamp: HybridStamp::default(),
    }
}

fn call_finish(result: &Result<UpstreamAnswer, UpstreamError>) -> CallFinish {
    match result {
        Ok(answer) if answer.status < FIRST_SERVER_ERROR => CallFinish::Succeeded,
        Ok(_) => CallFinish::Failed,
        Err(UpstreamError::Shed) => CallFinish::ShedByUpstream,
        Err(
            UpstreamError::CutOff
            | UpstreamError::OtherCall
            | UpstreamError::NoAnswer
            | UpstreamError::Unheld
            | UpstreamError::Unreachable
            | UpstreamError::OtherInstance,
        ) => CallFinish::Failed,
    }
}
