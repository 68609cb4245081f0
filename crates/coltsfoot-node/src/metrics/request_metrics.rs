//! Metrics of requests.

use std::time::Duration;

use coltsfootroute::{
    importance::Importance,
    outcome::{CallOutcome, RefusalReason},
    upstream_limit::RequestRate,
};
use prometheus::{Gauge, IntCounter, IntCounterVec, IntGauge};

use super::{
    ArrivalKind, MetricsError,
    counter_family::CounterFamily,
    latency_histogram::LatencyHistogram,
    metric_registry::{MetricRegistry, gauge_value},
};

/// Value of the limit's gauge while the upstream names none.
const NO_UPSTREAM_LIMIT: f64 = -1.0;

/// Metrics of requests: what was admitted, refused and answered, and how long it took.
pub struct RequestMetrics {
    admitted: CounterFamily<Importance>,
    refused: IntCounterVec,
    answered: CounterFamily<CallOutcome>,
    in_flight: IntGauge,
    queued: IntGauge,
    limit: IntGauge,
    importance_breaches: IntCounter,
    arrivals: CounterFamily<ArrivalKind>,
    upstream_limit: Gauge,
    upstream_ends: IntCounter,
    quarantined: IntGauge,
    added_latency: LatencyHistogram,
    upstream_latency: LatencyHistogram,
}

impl RequestMetrics {
    pub(super) fn new(registry: &MetricRegistry) -> Result<Self, MetricsError> {
        Ok(Self {
            admitted: CounterFamily::new(
                registry,
                "coltsfoot_requests_admitted_total",
                "Requests admitted in front of the upstream",
                "importance",
            )?,
            refused: registry.counters(
                "coltsfoot_requests_refused_total",
                "Requests refused",
                &["reason", "importance"],
            )?,
            answered: CounterFamily::new(
                registry,
                "coltsfoot_requests_answered_total",
                "Requests answered to callers, by what they were told",
                "outcome",
            )?,
            in_flight: registry
                .gauge("coltsfoot_requests_in_flight", "Requests in flight to the upstream")?,
            queued: registry
                .gauge("coltsfoot_requests_queued", "Requests waiting in front of the upstream")?,
            limit: registry.gauge(
                "coltsfoot_concurrency_limit",
                "Limit on requests in flight to the upstream",
            )?,
            importance_breaches: registry.counter(
                "coltsfoot_importance_breaches_total",
                "Requests refused for overload while less important work was admitted",
            )?,
            arrivals: CounterFamily::new(
                registry,
                "coltsfoot_upstream_arrivals_total",
                "Calls sent to the upstream, whatever came of them",
                "kind",
            )?,
            upstream_limit: registry.initial_gauge(
                "coltsfoot_upstream_limit",
                "Requests per second that the upstream names as its limit in its answers; -1 if it names none",
                NO_UPSTREAM_LIMIT,
            )?,
            upstream_ends: registry.counter(
                "coltsfoot_upstream_ends_total",
                "Unplanned ends of the upstream beside the node with calls under way",
            )?,
            quarantined: registry.gauge(
                "coltsfoot_requests_quarantined",
                "Requests held back since they have ended their upstreams",
            )?,
            added_latency: LatencyHistogram::new(
                registry,
                "coltsfoot_added_latency_seconds",
                "Time that the node adds to a call",
            )?,
            upstream_latency: LatencyHistogram::new(
                registry,
                "coltsfoot_upstream_latency_seconds",
                "Time that the upstream takes for a call",
            )?,
        })
    }

    /// A request was admitted in front of the upstream.
    pub fn admitted(&self, importance: Importance) {
        self.admitted.increment(importance);
    }

    /// A request was refused.
    pub fn refused(&self, reason: RefusalReason, importance: Importance) {
        self.refused.with_label_values(&[reason.as_str(), importance.as_str()]).inc();
    }

    /// A caller was told `outcome`.
    pub fn answered(&self, outcome: CallOutcome) {
        self.answered.increment(outcome);
    }

    /// Requests in flight to the upstream and waiting in front of it, now.
    pub fn set_load(&self, in_flight: usize, queued: usize) {
        self.in_flight.set(gauge_value(in_flight as u64));
        self.queued.set(gauge_value(queued as u64));
    }

    /// Limit on requests in flight to the upstream, now.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(gauge_value(limit as u64));
    }

    /// A request was refused for overload while less important work was admitted.
    pub fn importance_breached(&self) {
        self.importance_breaches.inc();
    }

    /// A call is sent to the upstream.
    pub fn arrived(&self, kind: ArrivalKind) {
        self.arrivals.increment(kind);
    }

    /// Limit that the upstream names in its answers; `None` if it names none.
    pub fn set_upstream_limit(&self, limit: Option<RequestRate>) {
        self.upstream_limit.set(limit.map_or(NO_UPSTREAM_LIMIT, RequestRate::per_second));
    }

    /// The upstream has ended with calls under way.
    pub fn upstream_ended(&self) {
        self.upstream_ends.inc();
    }

    /// So many different requests are held back now.
    pub fn set_quarantined(&self, held: usize) {
        self.quarantined.set(gauge_value(held as u64));
    }

    /// Time that the node added to a call.
    pub fn added_latency(&self, latency: Duration) {
        self.added_latency.observe(latency);
    }

    /// Time that the upstream took for a call.
    pub fn upstream_latency(&self, latency: Duration) {
        self.upstream_latency.observe(latency);
    }
}
