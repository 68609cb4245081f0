//! Ejection of upstreams that fail or are much slower than the median.

use super::UpstreamPool;
use crate::{id::NodeId, routing::UpstreamTier, time::MonotonicTime};

/// Minimum number of successful calls between two updates of the median.
const MIN_CALLS_PER_BASELINE: usize = 16;

impl UpstreamPool {
    /// Counts a successful call and recomputes the median of the upstreams' averages once per as many calls as there
    /// are upstreams, so that the cost per call does not grow with the pool.
    pub(super) fn update_baseline(&mut self) {
        self.calls_since_baseline += 1;
        if self.calls_since_baseline < self.records.len().max(MIN_CALLS_PER_BASELINE) {
            return;
        }
        self.calls_since_baseline = 0;
        let observed = self.live().filter_map(|record| record.latency.observed());
        let mut averages: Vec<f64> = observed.collect();
        if averages.is_empty() {
            return;
        }
        let middle = (averages.len() - 1) / 2;
        let (_, median, _) = averages.select_nth_unstable_by(middle, f64::total_cmp);
        self.baseline = *median;
    }

    pub(super) fn eject_if_failing(&mut self, now: MonotonicTime, node: NodeId) {
        let failing = self.records.get(&node).is_some_and(|record| {
            record.health.failures_in_row() >= self.settings.failures_to_eject
        });
        if failing {
            self.eject(now, node);
        }
    }

    pub(super) fn eject_if_slow(&mut self, now: MonotonicTime, node: NodeId) {
        let Some(record) = self.records.get(&node) else { return };
        // Latency to another region is mostly network latency, which the cost of a candidate already covers.
        if record.tier == UpstreamTier::OtherRegion
            || record.latency.samples() < self.settings.samples_to_eject
        {
            return;
        }
        if record.latency.observed().is_some_and(|micros| micros > self.slow_limit()) {
            self.eject(now, node);
        }
    }

    /// Returns the latency above which an upstream counts as slow, in microseconds.
    pub(super) fn slow_limit(&self) -> f64 {
        self.baseline * f64::from(self.settings.slow_factor)
    }

    fn eject(&mut self, now: MonotonicTime, node: NodeId) {
        let members = self.live().count();
        let ejected = self.live().filter(|record| record.health.is_ejected()).count();
        let Some(record) = self.records.get_mut(&node) else { return };
        if record.health.is_ejected() || ejected >= self.settings.max_ejected(members) {
            return;
        }
        record.health.eject(now, &self.settings);
        self.ejections += 1;
    }
}
