//! Histogram of latencies.

use std::time::Duration;

use prometheus::{Histogram, HistogramOpts};

use super::{MetricsError, metric_registry::MetricRegistry};

/// Upper bounds of the buckets, in seconds: finest around the aim of 1.3 ms of added latency.
const BUCKETS_S: [f64; 17] = [
    0.000_1, 0.000_25, 0.000_5, 0.000_75, 0.001, 0.001_3, 0.002, 0.003, 0.005, 0.01, 0.025, 0.05,
    0.1, 0.25, 0.5, 1.0, 5.0,
];

/// Histogram of latencies, in seconds.
pub(super) struct LatencyHistogram(Histogram);

impl LatencyHistogram {
    pub(super) fn new(
        registry: &MetricRegistry,
        name: &str,
        help: &str,
    ) -> Result<Self, MetricsError> {
        let options = HistogramOpts::new(name, help).buckets(BUCKETS_S.to_vec());
        registry.export(Histogram::with_opts(options)).map(Self)
    }

    pub(super) fn observe(&self, latency: Duration) {
        self.0.observe(latency.as_secs_f64());
    }
}
