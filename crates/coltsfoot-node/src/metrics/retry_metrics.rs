//! Metrics of retries.

use coltsfootroute::{event::DenialReason, retry::RepeatCause};
use prometheus::{IntCounter, IntGauge};

use super::{MetricsError, counter_family::CounterFamily, metric_registry::MetricRegistry};

/// Metrics of the retry accounts that the node holds.
pub struct RetryMetrics {
    granted: IntCounter,
    denied: CounterFamily<DenialReason>,
    repeats: CounterFamily<RepeatCause>,
    /// Written by one thread only, the holder of the accounts.
    request_max: IntGauge,
}

impl RetryMetrics {
    pub(super) fn new(registry: &MetricRegistry) -> Result<Self, MetricsError> {
        Ok(Self {
            granted: registry.counter(
                "coltsfoot_retries_granted_total",
                "Retries that took a token of their account",
            )?,
            denied: CounterFamily::new(
                registry,
                "coltsfoot_retries_denied_total",
                "Retries denied",
                "reason",
            )?,
            repeats: CounterFamily::new(
                registry,
                "coltsfoot_repeats_total",
                "Attempts that reached a further upstream of the same service, by what came of the one before",
                "cause",
            )?,
            request_max: registry.gauge(
                "coltsfoot_request_retries_max",
                "Most retries that any one client request of this node has taken",
            )?,
        })
    }

    /// Counts a retry of a client request of this node, its `taken`th in all.
    pub fn granted(&self, taken: u32) {
        self.granted.inc();
        let most = self.request_max.get().max(i64::from(taken));
        self.request_max.set(most);
    }

    /// Counts a call that reached a further upstream of the same service.
    pub fn repeated(&self, cause: RepeatCause) {
        self.repeats.increment(cause);
    }

    /// Counts a denied retry.
    pub fn denied(&self, reason: DenialReason) {
        self.denied.increment(reason);
    }
}
