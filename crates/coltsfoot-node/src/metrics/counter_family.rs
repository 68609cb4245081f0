//! Counters that differ by one label.

use indexmap::IndexMap;
use prometheus::IntCounter;

use super::{MetricsError, metric_label::MetricLabel, metric_registry::MetricRegistry};

/// Counters that differ by one label; every value of the label is exported from the start, at 0.
pub(super) struct CounterFamily<L> {
    /// One counter for each of `L::ALL`.
    counters: IndexMap<L, IntCounter>,
}

impl<L: MetricLabel> CounterFamily<L> {
    pub(super) fn new(
        registry: &MetricRegistry,
        name: &str,
        help: &str,
        label: &str,
    ) -> Result<Self, MetricsError> {
        let family = registry.counters(name, help, &[label])?;
        let counter = |value: &L| (*value, family.with_label_values(&[value.as_str()]));
        Ok(Self { counters: L::ALL.iter().map(counter).collect() })
    }

    pub(super) fn increment(&self, label: L) {
        if let Some(counter) = self.counters.get(&label) {
            counter.inc();
        }
    }
}
