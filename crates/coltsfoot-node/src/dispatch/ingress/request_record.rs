//! Events and metrics on the outcome of a request.

use std::{rc::Rc, time::Duration};

use coltsfoot_wire::peer::{CallReply, ReplyBody};
use coltsfootroute::{
    event::EventKind,
    id::RequestId,
    importance::Importance,
    name::ServiceName,
    outcome::{CallOutcome, RefusalReason},
    time::MonotonicTime,
};

use super::{
    call_ingress::CallIngress, incoming_call::IncomingCall, route_progress::RouteSummary,
    routed_call::RoutedCall,
};
use crate::clock::micros;

impl CallIngress {
    /// Routes a call that was received at `received`, and records its outcome.
    pub(super) async fn route_and_record(
        self: &Rc<Self>,
        call: &RoutedCall,
        received: MonotonicTime,
    ) -> CallReply {
        let RouteSummary { reply, attempts } = self.route(call).await;
        self.record_outcome(call, &reply, attempts, received);
        reply
    }

    fn record_outcome(
        &self,
        call: &RoutedCall,
        reply: &CallReply,
        attempts: u32,
        received: MonotonicTime,
    ) {
        let now = self.context.now();
        let elapsed = now.since(received);
        match &reply.body {
            ReplyBody::Answer { .. } => {
                if reply.outcome == CallOutcome::Completed {
                    let mut times = self.times.borrow_mut();
                    times.record(now, &call.service, &call.operation, elapsed);
                }
                self.context.metrics.requests.answered(reply.outcome);
                self.context.metrics.requests.upstream_latency(reply.upstream_time);
                self.context
                    .metrics
                    .requests
                    .added_latency(elapsed.saturating_sub(reply.upstream_time));
            }
            ReplyBody::Refusal { reason, .. } => {
                self.context.metrics.requests.refused(*reason, call.importance);
            }
        }
        self.context.events.emit(self.outcome_event(call, reply, attempts, elapsed));
    }

    fn outcome_event(
        &self,
        call: &RoutedCall,
        reply: &CallReply,
        attempts: u32,
        elapsed: Duration,
    ) -> EventKind {
        let (request, service, operation) =
            (call.request, call.service.clone(), call.operation.clone());
        let elapsed_us = micros(elapsed);
        match (&reply.body, reply.outcome) {
            (ReplyBody::Answer { status, .. }, CallOutcome::Completed) => {
                EventKind::RequestCompleted {
                    request,
                    service,
                    operation,
                    status: *status,
                    elapsed_us,
                }
            }
            (ReplyBody::Refusal { reason, .. }, outcome) if outcome != CallOutcome::Unknown => {
                EventKind::RequestRefused {
                    shed_by: None,
                    severity: self.severity(&service),
                    request,
                    service,
                    operation,
                    importance: call.importance,
                    reason: *reason,
                    outcome,
                    attempts,
                    revision: self.context.revision(),
                    elapsed_us,
                }
            }
            (body, _) => {
                let (reason, status) = match body {
                    ReplyBody::Answer { status, .. } => (RefusalReason::UpstreamFailed, *status),
                    ReplyBody::Refusal { reason, .. } => (*reason, 0),
                };
                EventKind::RequestUnknown {
                    request,
                    service,
                    operation,
                    reason,
                    status,
                    attempts,
                    elapsed_us,
                }
            }
        }
    }

    /// Refuses a client's request before any attempt, and records the refusal in the metrics and the journal.
    pub(super) fn refuse_entry(
        &self,
        request: RequestId,
        call: &IncomingCall,
        importance: Importance,
        reason: RefusalReason,
        shed_by: Option<ServiceName>,
    ) -> CallReply {
        self.context.events.emit(EventKind::RequestRefused {
            request,
            service: call.service.clone(),
            operation: call.operation.clone(),
            importance,
            reason,
            outcome: CallOutcome::NotRun,
            attempts: 0,
            severity: self.severity(shed_by.as_ref().unwrap_or(&call.service)),
            shed_by,
            revision: self.context.revision(),
            elapsed_us: micros(self.context.now().since(call.received)),
        });
        self.guard.refuse(importance, reason)
    }

    pub(super) fn severity(&self, service: &ServiceName) -> u16 {
        self.root.borrow().levels().level(self.context.now(), service).severity()
    }
}
