//! Estimated times of the operations of services.

use std::time::Duration;

use indexmap::IndexMap;

use super::TimeEstimate;
use crate::{
    name::{OperationName, ServiceName},
    time::MonotonicTime,
};

/// Percentile of the typical time of an operation.
const MEDIAN_PERCENT: u32 = 50;

/// Estimated times, from dispatch to response, of the operations that a node calls or guards. Each
/// time includes the calls nested below the operation.
///
/// Invariant: there are at most `max_operations` estimates, each of a fixed size.
#[derive(Clone, Debug)]
pub struct ServiceTimes {
    estimates: IndexMap<ServiceName, IndexMap<OperationName, TimeEstimate>>,
    operation_count: usize,
    max_operations: usize,
    percent: u32,
}

impl ServiceTimes {
    /// Creates an empty set for at most `max_operations` operations. The percentile `percent` of the
    /// recent times of an operation is the minimum time that it needs; with a low percentile, only
    /// calls that would rarely finish are refused.
    pub fn new(max_operations: usize, percent: u32) -> Self {
        Self { estimates: IndexMap::new(), operation_count: 0, max_operations, percent }
    }

    /// Records the time of a call that ended at `now`, whether it completed or timed out.
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

    /// Returns the minimum time that a call needs; `None` if there are too few recent samples.
    pub fn needed(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        operation: &OperationName,
    ) -> Option<Duration> {
        let percent = self.percent;
        self.estimate_mut(service, operation)?.quantile(now, percent)
    }

    /// Returns the time within which half of the calls end; `None` if there are too few recent samples.
    pub fn typical(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        operation: &OperationName,
    ) -> Option<Duration> {
        self.estimate_mut(service, operation)?.upper_quantile(now, MEDIAN_PERCENT)
    }

    /// Removes the operations for which `keep` returns `false`, after a change of the schema.
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
    /// Creates a set for 1,024 operations that uses the tenth percentile.
    fn default() -> Self {
        Self::new(1_024, 10)
    }
}
