//! One attempt of a call, from start to end.

use coltsfootroute::{
    event::EventKind, id::NodeId, outcome::CallOutcome, routing::RouteResult, time::MonotonicTime,
};

use super::{dispatcher::Dispatcher, request_record::micros, routed_call::RoutedCall};

/// Counts an attempt in its pool and reports it, from start to end, also when its future is dropped.
pub struct AttemptCount<'a> {
    dispatcher: &'a Dispatcher,
    call: &'a RoutedCall,
    node: NodeId,
    /// 1 for the first attempt.
    attempt: u32,
    started: MonotonicTime,
    /// How it ended for the pool.
    pub result: RouteResult,
    /// How it ended for the call; unknown while it runs.
    pub outcome: CallOutcome,
}

impl<'a> AttemptCount<'a> {
    /// The attempt number `attempt` starts, on the upstream beside `node`.
    pub fn start(
        dispatcher: &'a Dispatcher,
        call: &'a RoutedCall,
        node: NodeId,
        attempt: usize,
    ) -> Self {
        let started = dispatcher.clock.now();
        let attempt = u32::try_from(attempt).unwrap_or(u32::MAX);
        dispatcher.with_pool(&call.service, |pool| pool.started(started, node));
        dispatcher.events.emit(EventKind::AttemptStarted {
            request: call.request,
            service: call.service.clone(),
            guard: node,
            attempt,
        });
        let (result, outcome) = (RouteResult::Cancelled, CallOutcome::Unknown);
        Self { dispatcher, call, node, attempt, started, result, outcome }
    }
}

impl Drop for AttemptCount<'_> {
    fn drop(&mut self) {
        let now = self.dispatcher.clock.now();
        let latency = now.since(self.started);
        let (node, result) = (self.node, self.result);
        let service = &self.call.service;
        self.dispatcher.with_pool(service, |pool| pool.finished(now, node, latency, result));
        self.dispatcher.events.emit(EventKind::AttemptFinished {
            request: self.call.request,
            service: service.clone(),
            guard: node,
            attempt: self.attempt,
            outcome: self.outcome,
            elapsed_us: micros(latency),
        });
    }
}
