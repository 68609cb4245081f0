//! Metrics of the platform's store as the node uses it.

use coltsfootroute::{event::ClaimOutcome, table::StoreUse};
use prometheus::{IntCounterVec, IntGauge};

use super::{
    MetricsError, StoreResult, counter_family::CounterFamily, metric_label::MetricLabel,
    metric_registry::MetricRegistry,
};

/// Metrics of the platform's store as the node uses it.
pub struct StoreMetrics {
    claims: CounterFamily<ClaimOutcome>,
    requests: IntCounterVec,
    up: IntGauge,
}

impl StoreMetrics {
    pub(super) fn new(registry: &MetricRegistry) -> Result<Self, MetricsError> {
        let metrics = Self {
            claims: CounterFamily::new(
                registry,
                "coltsfoot_claims_total",
                "Claims on idempotency keys",
                "outcome",
            )?,
            requests: registry.counters(
                "coltsfoot_store_requests_total",
                "Requests to the platform's store",
                &["use", "result"],
            )?,
            up: registry
                .gauge("coltsfoot_store_up", "1 while the platform's store answers, else 0")?,
        };
        metrics.export_all_labels();
        Ok(metrics)
    }

    /// A claim was decided.
    pub fn claimed(&self, outcome: ClaimOutcome) {
        self.claims.increment(outcome);
    }

    /// A request to the store ended.
    pub fn requested(&self, store_use: StoreUse, result: StoreResult) {
        self.requests.with_label_values(&[store_use.as_str(), result.as_str()]).inc();
    }

    /// Whether the store answered when it was last asked.
    pub fn set_up(&self, is_up: bool) {
        self.up.set(i64::from(is_up));
    }

    fn export_all_labels(&self) {
        for store_use in StoreUse::ALL {
            for result in StoreResult::ALL {
                self.requests.with_label_values(&[store_use.as_str(), result.as_str()]);
            }
        }
    }
}
