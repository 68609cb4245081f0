//! Retry hints after which the answer to a refused client can still be in time.

use std::time::Duration;

use coltsfoot_wire::peer::{CallReply, ReplyBody};
use coltsfootroute::{
    admission::{HintWindow, RetryAfter},
    name::{OperationName, ServiceName},
    outcome::{CallOutcome, RefusalReason},
    time::MonotonicTime,
};

use super::call_ingress::CallIngress;

impl CallIngress {
    /// Shortens the hint of a reply that refuses a client request for overload, if a retry after it would be answered
    /// later than `objective` after the request was received. Hints of other refusals say when the obstacle is gone.
    pub(super) fn shorten_hint(
        &self,
        service: &ServiceName,
        operation: &OperationName,
        objective: Option<Duration>,
        received: MonotonicTime,
        reply: &mut CallReply,
    ) {
        if !self.context.scheduling.timely_hints || reply.outcome != CallOutcome::NotRun {
            return;
        }
        let ReplyBody::Refusal { reason: RefusalReason::Overload, retry_after } = &mut reply.body
        else {
            return;
        };
        let now = self.context.now();
        let expected = self.times.borrow_mut().typical(now, service, operation);
        let window = HintWindow::new(objective, now.since(received), expected);
        let hint = RetryAfter(*retry_after).within(window, &mut *self.context.rng.borrow_mut());
        if hint.0 < *retry_after {
            self.context.metrics.requests.hint_shortened();
            *retry_after = hint.0;
        }
    }
}
