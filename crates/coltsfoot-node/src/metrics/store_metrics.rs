//! Metrics of the node's use of the platform's store.

use coltsfootroute::{event::ClaimOutcome, table::StoreUse};
use prometheus::{IntCounterVec, IntGauge};

use super::{
    MetricsError, StoreResult, counter_family::CounterFamily, metric_label::MetricLabel,
    metric_registry::MetricRegistry,
};

/// Metrics of the node's use of the platform's store.
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

    /// Counts the outcome of a claim.
    pub fn claimed(&self, outcome: ClaimOutcome) {
        self.claims.increment(outcome);
    }

    /// Counts the result of a request to the store.
    pub fn requested(&self, store_use: StoreUse, result: StoreResult) {
        self.requests.with_label_values(&[store_use.as_str(), result.as_str()]).inc();
    }

    /// Sets whether the store responded to the last request.
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
