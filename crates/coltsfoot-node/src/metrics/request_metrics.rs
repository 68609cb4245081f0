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
    hints_shortened: IntCounter,
    answered: CounterFamily<CallOutcome>,
    in_flight: IntGauge,
    queued: IntGauge,
    limit: IntGauge,
    importance_breaches: IntCounter,
    share_refusals: CounterFamily<Importance>,
    arrivals: CounterFamily<ArrivalKind>,
    mismatched_answers: IntCounter,
    upstream_limit: Gauge,
    upstream_ends: IntCounter,
    quarantined: IntGauge,
    added_latency: LatencyHistogram,
    upstream_latency: LatencyHistogram,
    request_age: LatencyHistogram,
    full_passed: IntCounter,
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
            hints_shortened: registry.counter(
                "coltsfoot_hints_shortened_total",
                "Refusals of client requests whose retry hint was shortened to the operation's objective",
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
            share_refusals: CounterFamily::new(
                registry,
                "coltsfoot_team_share_refusals_total",
                "Requests refused at entry of teams that use more of their rate than others",
                "importance",
            )?,
            arrivals: CounterFamily::new(
                registry,
                "coltsfoot_upstream_arrivals_total",
                "Calls sent to the upstream, whatever came of them",
                "kind",
            )?,
            mismatched_answers: registry.counter(
                "coltsfoot_upstream_mismatched_answers_total",
                "Calls to the upstream after which the answer to another call came first",
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
            request_age: LatencyHistogram::new(
                registry,
                "coltsfoot_request_age_seconds",
                "Time since the client request entered, when a guard that serves by age admits a call of it",
            )?,
            full_passed: registry.counter(
                "coltsfoot_full_upstreams_passed_total",
                "Choices of an upstream with free slots in place of a full one",
            )?,
        })
    }

    /// Counts a request that the guard admitted.
    pub fn admitted(&self, importance: Importance) {
        self.admitted.increment(importance);
    }

    /// Counts a refused request.
    pub fn refused(&self, reason: RefusalReason, importance: Importance) {
        self.refused.with_label_values(&[reason.as_str(), importance.as_str()]).inc();
    }

    /// Counts a request that was refused while its team had less than the mean probability of admission.
    pub fn refused_by_share(&self, importance: Importance) {
        self.share_refusals.increment(importance);
    }

    /// Counts a refusal whose retry hint was shortened to the operation's objective.
    pub fn hint_shortened(&self) {
        self.hints_shortened.inc();
    }

    /// Counts a response with `outcome`.
    pub fn answered(&self, outcome: CallOutcome) {
        self.answered.increment(outcome);
    }

    /// Sets the number of requests in flight to the upstream and of those that wait in front of it.
    pub fn set_load(&self, in_flight: usize, queued: usize) {
        self.in_flight.set(gauge_value(in_flight as u64));
        self.queued.set(gauge_value(queued as u64));
    }

    /// Sets the limit on requests in flight to the upstream.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(gauge_value(limit as u64));
    }

    /// Counts a request that was refused for overload while less important work was admitted.
    pub fn importance_breached(&self) {
        self.importance_breaches.inc();
    }

    /// Counts a call that is sent to the upstream.
    pub fn arrived(&self, kind: ArrivalKind) {
        self.arrivals.increment(kind);
    }

    /// Counts a call to the upstream after which the answer to another call came first.
    pub fn answer_mismatched(&self) {
        self.mismatched_answers.inc();
    }

    /// Sets the limit that the upstream names in its answers; `None` if it names none.
    pub fn set_upstream_limit(&self, limit: Option<RequestRate>) {
        self.upstream_limit.set(limit.map_or(NO_UPSTREAM_LIMIT, RequestRate::per_second));
    }

    /// Counts a crash of the upstream with calls in flight.
    pub fn upstream_ended(&self) {
        self.upstream_ends.inc();
    }

    /// Sets the number of different requests in quarantine.
    pub fn set_quarantined(&self, held: usize) {
        self.quarantined.set(gauge_value(held as u64));
    }

    /// Records the time that the node added to a call.
    pub fn added_latency(&self, latency: Duration) {
        self.added_latency.observe(latency);
    }

    /// Records the time that the upstream took for a call.
    pub fn upstream_latency(&self, latency: Duration) {
        self.upstream_latency.observe(latency);
    }

    /// Records the age of the client request of an admitted call.
    pub fn request_age(&self, age: Duration) {
        self.request_age.observe(age);
    }

    /// Counts a call that was sent to an upstream with free slots in place of a full one.
    pub fn full_passed(&self) {
        self.full_passed.inc();
    }
}
