//! Handling of nested calls from the upstream beside the node.

use std::{rc::Rc, time::Duration};

use coltsfoot_wire::peer::CallReply;
use coltsfootroute::{
    id::RequestId,
    importance::Importance,
    outcome::{CallOutcome, RefusalReason},
    time::MonotonicTime,
};
use rand::RngExt;

use super::{call_ingress::CallIngress, incoming_call::IncomingCall, routed_call::RoutedCall};
use crate::{
    dispatch::guard::{CallKind, CallSpan, NestedCallTracker},
    http::HttpReply,
};

/// Deadline of a nested call that carries neither a context nor a deadline.
const ORPHAN_DEADLINE: Duration = Duration::from_millis(1_000);

/// Parameters of a nested call that passed the entry checks.
struct NestedCheck {
    repeatable: bool,
    most_attempts: Option<u32>,
}

impl CallIngress {
    /// Serves one nested call.
    pub async fn serve_nested(
        self: &Rc<Self>,
        call: IncomingCall,
        context: Option<String>,
    ) -> HttpReply {
        match context.and_then(|context| self.guard.spans.find(&context)) {
            Some(span) => {
                let request = span.request;
                HttpReply::from_call(request, self.serve_below(call, span).await)
            }
            None => {
                let request = RequestId(self.context.rng.borrow_mut().random());
                let reply = self.serve_in_span(request, call, None).await;
                HttpReply::from_call(request, reply)
            }
        }
    }

    /// Serves a call that is nested below `span`.
    pub async fn serve_below(self: &Rc<Self>, call: IncomingCall, span: Rc<CallSpan>) -> CallReply {
        let tracker = NestedCallTracker::begin(span.clone());
        // A front detects by itself that the caller has disconnected, and an upstream whose work is cancelled closes
        // its nested calls. Until then they continue, because their upstreams are working on them.
        let reply = match call.head {
            Some(_) => self.serve_in_span(span.request, call, Some(&span)).await,
            None => self.serve_unless_cancelled(call, &span).await,
        };
        span.note_levels(&reply.levels);
        span.note_nested(&reply);
        tracker.finish(reply.outcome);
        reply
    }

    /// Serves a nested call until the call above it is cancelled, which cancels the nested call and all calls below
    /// it. The listener does not report that a caller has disconnected, but the guard does.
    async fn serve_unless_cancelled(
        self: &Rc<Self>,
        call: IncomingCall,
        above: &CallSpan,
    ) -> CallReply {
        tokio::select! {
            reply = self.serve_in_span(above.request, call, Some(above)) => reply,
            () = above.cancelled() => {
                self.guard.refusal(RefusalReason::UpstreamFailed, CallOutcome::Unknown)
            }
        }
    }

    async fn serve_in_span(
        self: &Rc<Self>,
        request: RequestId,
        call: IncomingCall,
        span: Option<&CallSpan>,
    ) -> CallReply {
        let importance = span.map_or(Importance::Background, |span| span.importance);
        let kind = if span.is_some() { CallKind::Nested } else { CallKind::Guarded };
        // Calls that are already running may make nested calls while the node leaves.
        let Some(_permit) = self.guard.start_call(kind) else {
            return self.guard.refuse(importance, RefusalReason::Leaving);
        };
        let deadline = nested_deadline(&call, span);
        let check = match self.check_nested(&call, deadline) {
            Ok(check) => check,
            Err(reason) => return self.guard.refuse(importance, reason),
        };
        let routed = RoutedCall {
            request,
            service: call.service,
            operation: call.operation,
            importance,
            deadline,
            entered: span.map_or(call.received, |span| span.entered),
            account: span.and_then(|span| span.account),
            client: span.map_or(0, |span| span.client),
            team: span.and_then(|span| span.team.clone()),
            under_way: span.is_some(),
            is_repeat: span.is_some_and(|span| span.is_repeat),
            repeatable: check.repeatable,
            most_attempts: check.most_attempts,
            key: call.key,
            content_type: call.content_type,
            head: call.head,
            body: call.body,
        };
        self.route_and_record(&routed, call.received).await
    }

    fn check_nested(
        &self,
        call: &IncomingCall,
        deadline: MonotonicTime,
    ) -> Result<NestedCheck, RefusalReason> {
        let config = self.context.config.in_force()?;
        let operation = config.operation(&call.service, &call.operation)?;
        self.check_key(operation, call)?;
        self.check_deadline(call, deadline)?;
        Ok(NestedCheck { repeatable: operation.repeatable, most_attempts: operation.most_attempts })
    }
}

/// Returns the deadline of a nested call, which is never later than the deadline of the call above.
fn nested_deadline(call: &IncomingCall, span: Option<&CallSpan>) -> MonotonicTime {
    let requested = call.remaining.map(|remaining| call.received + remaining);
    match (span, requested) {
        (Some(span), Some(requested)) => span.deadline.min(requested),
        (Some(span), None) => span.deadline,
        (None, Some(requested)) => requested,
        (None, None) => call.received + ORPHAN_DEADLINE,
    }
}
