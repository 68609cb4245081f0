//! All metrics of a node.

use super::{
    ControlMetrics, MetricsError, ProcessMetrics, RequestMetrics, RetryMetrics, StoreMetrics,
    metric_registry::MetricRegistry,
};

/// All metrics of a node. Every label has a fixed set of values, so that the size of the export does not
/// depend on services, clients or peers. Every series is shown from the start at 0, since a rate over a
/// series that appears with its first event misses that event; only refusals are left to appear, since
/// most of their pairs of labels never occur.
pub struct NodeMetrics {
    registry: MetricRegistry,
    /// Requests.
    pub requests: RequestMetrics,
    /// Retries.
    pub retries: RetryMetrics,
    /// Configuration, membership and the traffic for it.
    pub control: ControlMetrics,
    /// The platform's store.
    pub store: StoreMetrics,
    /// The process.
    pub process: ProcessMetrics,
}

impl NodeMetrics {
    /// Creates metrics in a registry of their own, all at 0.
    ///
    /// # Errors
    ///
    /// [`MetricsError`] if a definition is wrong, which a test rules out.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = MetricRegistry::new();
        Ok(Self {
            requests: RequestMetrics::new(&registry)?,
            retries: RetryMetrics::new(&registry)?,
            control: ControlMetrics::new(&registry)?,
            store: StoreMetrics::new(&registry)?,
            process: ProcessMetrics::new(&registry)?,
            registry,
        })
    }

    /// Returns the metrics in Prometheus' text format, the body of `GET /metrics`. Must be called by one thread only.
    ///
    /// # Errors
    ///
    /// [`MetricsError`] if the encoder fails.
    pub fn render(&self) -> Result<String, MetricsError> {
        self.process.refresh();
        self.registry.render()
    }
}
