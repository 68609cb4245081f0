//! Definition of metrics.

use prometheus::{
    Counter, CounterVec, Gauge, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder, core::Collector,
};

use super::MetricsError;

/// Defines metrics, exports them and renders them.
pub(super) struct MetricRegistry(Registry);

impl MetricRegistry {
    pub(super) fn new() -> Self {
        Self(Registry::new())
    }

    pub(super) fn counter(&self, name: &str, help: &str) -> Result<IntCounter, MetricsError> {
        self.export(IntCounter::new(name, help))
    }

    pub(super) fn counters(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntCounterVec, MetricsError> {
        self.export(IntCounterVec::new(Opts::new(name, help), labels))
    }

    pub(super) fn seconds(&self, name: &str, help: &str) -> Result<Counter, MetricsError> {
        self.export(Counter::new(name, help))
    }

    pub(super) fn seconds_by(
        &self,
        name: &str,
        help: &str,
        label: &str,
    ) -> Result<CounterVec, MetricsError> {
        self.export(CounterVec::new(Opts::new(name, help), &[label]))
    }

    pub(super) fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, MetricsError> {
        self.export(IntGauge::new(name, help))
    }

    /// Defines a gauge of a fractional value, with its initial value.
    pub(super) fn initial_gauge(
        &self,
        name: &str,
        help: &str,
        initial: f64,
    ) -> Result<Gauge, MetricsError> {
        let gauge = self.export(Gauge::new(name, help))?;
        gauge.set(initial);
        Ok(gauge)
    }

    pub(super) fn gauges(
        &self,
        name: &str,
        help: &str,
        label: &str,
    ) -> Result<IntGaugeVec, MetricsError> {
        self.export(IntGaugeVec::new(Opts::new(name, help), &[label]))
    }

    /// Exports a metric that its own type has built.
    pub(super) fn export<M: Collector + Clone + 'static>(
        &self,
        metric: prometheus::Result<M>,
    ) -> Result<M, MetricsError> {
        let metric = metric?;
        self.0.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    /// Returns all metrics in Prometheus' text format.
    pub(super) fn render(&self) -> Result<String, MetricsError> {
        Ok(TextEncoder::new().encode_to_string(&self.0.gather())?)
    }
}

/// Converts a count to the value of a gauge.
pub(super) fn gauge_value(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
