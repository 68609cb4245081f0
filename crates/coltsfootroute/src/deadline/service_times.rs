//! Time that the operations of services take.

use std::time::Duration;

use indexmap::IndexMap;

use super::TimeEstimate;
use crate::{
    name::{OperationName, ServiceName},
    time::MonotonicTime,
};

/// Times of the operations that a node calls or guards, from dispatch to answer: each includes the
/// rest of the chain below it.
///
/// Invariant: at most `max_operations` estimates, of a fixed size each.
#[derive(Clone, Debug)]
pub struct ServiceTimes {
    estimates: IndexMap<ServiceName, IndexMap<OperationName, TimeEstimate>>,
    operation_count: usize,
    max_operations: usize,
    percent: u32,
}

impl ServiceTimes {
    /// Estimates for at most `max_operations` operations. An operation takes at least what
    /// `percent` of its recent calls stayed below: a small share refuses only what hardly ever finishes.
    pub fn new(max_operations: usize, percent: u32) -> Self {
        Self { estimates: IndexMap::new(), operation_count: 0, max_operations, percent }
    }

    /// Takes in the time of a call that ended at `now`, whether it completed or ran out of time.
    pub fn record(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        operation: &OperationName,
        time: Duration,
    ) {
        if let Some(estimate) = self.estimate_mut(service, operation) {
            estimate.record(now, time);
            return;
        }
        if self.operation_count >= self.max_operations {
            return;
        }
        let mut estimate = TimeEstimate::new(now);
        estimate.record(now, time);
        self.estimates.entry(service.clone()).or_default().insert(operation.clone(), estimate);
        self.operation_count += 1;
    }

    /// Time that a call takes at least; `None` where too little is known.
    pub fn needed(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        operation: &OperationName,
    ) -> Option<Duration> {
        let percent = self.percent;
        self.estimate_mut(service, operation)?.quantile(now, percent)
    }

    /// Forgets the operations for which `keep` is false, after the schema has changed.
    pub fn retain(&mut self, mut keep: impl FnMut(&ServiceName, &OperationName) -> bool) {
        for (service, operations) in &mut self.estimates {
            operations.retain(|operation, _| keep(service, operation));
        }
        self.estimates.retain(|_, operations| !operations.is_empty());
        self.operation_count = self.estimates.values().map(IndexMap::len).sum();
    }

    fn estimate_mut(
        &mut self,
        service: &ServiceName,
        operation: &OperationName,
    ) -> Option<&mut TimeEstimate> {
        self.estimates.get_mut(service)?.get_mut(operation)
    }
}

impl Default for ServiceTimes {
    /// Estimates for 1,024 operations, by their tenth percentile.
    fn default() -> Self {
        Self::new(1_024, 10)
    }
}
