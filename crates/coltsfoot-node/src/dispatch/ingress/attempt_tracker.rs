//! Reporting of one attempt of a call.

use coltsfootroute::{
    event::EventKind,
    id::NodeId,
    outcome::CallOutcome,
    routing::{RouteResult, UpstreamOccupancy},
    time::MonotonicTime,
};

use super::{call_ingress::CallIngress, routed_call::RoutedCall};
use crate::clock::micros;

/// Counts an attempt in its pool and emits its start and finish events, also when its future is dropped.
pub struct AttemptTracker<'a> {
    ingress: &'a CallIngress,
    call: &'a RoutedCall,
    node: NodeId,
    /// Number of the attempt, from 1.
    attempt: u32,
    started: MonotonicTime,
    /// Result reported to the pool.
    pub result: RouteResult,
    /// Outcome for the call; `Unknown` while the attempt runs.
    pub outcome: CallOutcome,
    /// How full the guard was, if it reported that.
    pub occupancy: Option<UpstreamOccupancy>,
}

impl<'a> AttemptTracker<'a> {
    /// Records the start of attempt number `attempt` on the upstream beside `node`.
    pub fn start(
        ingress: &'a CallIngress,
        call: &'a RoutedCall,
        node: NodeId,
        attempt: usize,
    ) -> Self {
        let started = ingress.context.now();
        let attempt = u32::try_from(attempt).unwrap_or(u32::MAX);
        ingress.with_pool(&call.service, |pool| pool.started(started, node));
        ingress.context.events.emit(EventKind::AttemptStarted {
            request: call.request,
            service: call.service.clone(),
            guard: node,
            attempt,
        });
        let (result, outcome) = (RouteResult::Cancelled, CallOutcome::Unknown);
        Self { ingress, call, node, attempt, started, result, outcome, occupancy: None }
    }
}

impl Drop for AttemptTracker<'_> {
    fn drop(&mut self) {
        let now = self.ingress.context.now();
        let latency = now.since(self.started);
        let (node, result) = (self.node, self.result);
        let service = &self.call.service;
        let occupancy = self.occupancy;
        self.ingress.with_pool(service, |pool| {
            pool.finished_with_load(now, node, latency, result, occupancy)
        });
        self.ingress.context.events.emit(EventKind::AttemptFinished {
            request: self.call.request,
            service: service.clone(),
            guard: node,
            attempt: self.attempt,
            outcome: self.outcome,
            elapsed_us: micros(latency),
        });
    }
}
