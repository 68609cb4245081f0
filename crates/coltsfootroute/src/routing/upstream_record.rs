//! State that a pool keeps for one upstream.

use std::time::Duration;

use super::{
    InFlightShare, RouteResult, RoutingSettings, UpstreamInfo, UpstreamOccupancy, UpstreamPhase,
    UpstreamTier, latency_average::LatencyAverage, reported_load::ReportedLoad,
    upstream_health::UpstreamHealth,
};
use crate::time::MonotonicTime;

/// State of one upstream in a pool.
#[derive(Clone, Debug)]
pub(super) struct UpstreamRecord {
    pub(super) info: UpstreamInfo,
    pub(super) tier: UpstreamTier,
    pub(super) share: InFlightShare,
    pub(super) latency: LatencyAverage,
    pub(super) health: UpstreamHealth,
    /// Whether membership lists the upstream. One that is no longer listed is kept only while calls are in flight.
    pub(super) present: bool,
    /// Time at which membership first reported that it is leaving.
    leaving_since: Option<MonotonicTime>,
    /// Whether it has refused a call because it is leaving.
    has_refused_as_leaving: bool,
    /// Unfinished calls, to this incarnation and earlier ones.
    pub(super) in_flight: u32,
    /// Calls of `in_flight` that were sent to an earlier incarnation; their results are ignored.
    stale_in_flight: u32,
    /// Share of refusals among recent results, 0 to 1.
    refused_share: f64,
    refused_at: MonotonicTime,
    /// Load that the guard reported last; `None` before the first report of this incarnation.
    load: Option<ReportedLoad>,
    warm_up_start: MonotonicTime,
}

impl UpstreamRecord {
    pub(super) fn new(
        now: MonotonicTime,
        info: UpstreamInfo,
        tier: UpstreamTier,
        settings: &RoutingSettings,
    ) -> Self {
        let share = InFlightShare::new(info.connections, settings.callers, settings.min_share);
        Self {
            leaving_since: info.leaving.then_some(now),
            has_refused_as_leaving: false,
            info,
            tier,
            share,
            latency: LatencyAverage::default(),
            health: UpstreamHealth::default(),
            present: true,
            in_flight: 0,
            stale_in_flight: 0,
            refused_share: 0.0,
            refused_at: now,
            load: None,
            warm_up_start: now,
        }
    }

    /// Applies an update from membership; an update about an older incarnation is ignored.
    pub(super) fn update(
        &mut self,
        now: MonotonicTime,
        info: UpstreamInfo,
        tier: UpstreamTier,
        settings: &RoutingSettings,
    ) {
        self.present = true;
        if info.incarnation < self.info.incarnation {
            return;
        }
        if info.incarnation.is_later_instance(self.info.incarnation) {
            let in_flight = self.in_flight;
            *self = Self::new(now, info, tier, settings);
            self.in_flight = in_flight;
            self.stale_in_flight = in_flight;
            return;
        }
        let was_leaving = self.info.leaving;
        self.info = info;
        self.info.leaving |= was_leaving;
        if self.info.leaving {
            self.leaving_since.get_or_insert(now);
        }
        self.tier = tier;
        self.update_share(settings);
    }

    /// Recomputes this caller's share of the connections.
    pub(super) fn update_share(&mut self, settings: &RoutingSettings) {
        let connections = self.info.connections;
        self.share = InFlightShare::new(connections, settings.callers, settings.min_share);
    }

    /// Returns whether membership lists the upstream and it is not leaving.
    pub(super) fn is_live(&self) -> bool {
        self.present && !self.info.leaving
    }

    /// Returns whether the upstream may still accept a call although it is leaving: the leave was reported less
    /// than `recent` ago, it has refused no call because of it, and this caller's share is not used up.
    pub(super) fn is_departing(&self, now: MonotonicTime, recent: Duration) -> bool {
        let is_recent = self.leaving_since.is_some_and(|since| now.since(since) < recent);
        is_recent && !self.has_refused_as_leaving && self.in_flight < self.share.0
    }

    /// Returns whether the upstream is live and this caller's share is not used up.
    pub(super) fn has_capacity(&self) -> bool {
        self.is_live() && self.in_flight < self.share.0
    }

    /// Returns whether a call may be sent, regardless of suspicion.
    pub(super) fn accepts_calls(&self, now: MonotonicTime) -> bool {
        self.has_capacity() && (!self.health.is_ejected() || self.may_start_trial(now))
    }

    /// Returns whether a trial call may start: one at a time, and none before the calls that were in flight at the
    /// ejection have finished.
    pub(super) fn may_start_trial(&self, now: MonotonicTime) -> bool {
        self.in_flight == 0 && self.health.is_on_trial(now)
    }

    /// Returns the expected wait per slot in microseconds; lower is better.
    pub(super) fn cost(
        &self,
        now: MonotonicTime,
        baseline: f64,
        settings: &RoutingSettings,
    ) -> f64 {
        let slots = f64::from(self.info.slots.max(1));
        // Fewer calls in flight than this caller's part of the slots say little about the upstream's load.
        let part = (slots / f64::from(settings.callers.max(1))).clamp(1.0, MAX_SLOTS_PER_CALLER);
        let latency = self.latency.micros(now, settings.latency_window, baseline).max(1.0);
        let waiting = f64::from(self.in_flight) + part;
        let capacity = slots * self.weight(now, settings);
        let refusals = self.recent_refusals(now, settings);
        latency * waiting / capacity * (1.0 + REFUSAL_COST_FACTOR * refusals)
    }

    /// Records the occupancy that the guard reported with a reply.
    pub(super) fn note_occupancy(&mut self, now: MonotonicTime, occupancy: UpstreamOccupancy) {
        self.load = Some(ReportedLoad::new(now, occupancy, self.in_flight, self.info.slots));
    }

    /// Returns the occupancy of the upstream; `None` if it is unknown, or if the upstream has recently refused or failed
    /// calls, which keeps its slots free without making it a good choice.
    pub(super) fn occupancy(&self, now: MonotonicTime, settings: &RoutingSettings) -> Option<f64> {
        let occupancy = self.load?.occupancy(now, self.in_flight, self.info.slots)?;
        let is_sound = self.health.failures_in_row() == 0
            && self.recent_refusals(now, settings) < MAX_REFUSED_SHARE;
        is_sound.then_some(occupancy)
    }

    /// Returns the weight, which rises to 1 during the slow start; always above 0.
    pub(super) fn weight(&self, now: MonotonicTime, settings: &RoutingSettings) -> f64 {
        let elapsed = now.since(self.warm_up_start);
        if elapsed >= settings.slow_start {
            return 1.0;
        }
        let start = f64::from(settings.slow_start_percent) / 100.0;
        let progress = elapsed.as_secs_f64() / settings.slow_start.as_secs_f64();
        start + (1.0 - start) * progress
    }

    pub(super) fn phase(&self, now: MonotonicTime, settings: &RoutingSettings) -> UpstreamPhase {
        if !self.is_live() {
            UpstreamPhase::Leaving
        } else if self.health.is_on_trial(now) {
            UpstreamPhase::Trial
        } else if self.health.is_ejected() {
            UpstreamPhase::Ejected
        } else if self.info.suspect {
            UpstreamPhase::Suspect
        } else if self.weight(now, settings) < 1.0 {
            UpstreamPhase::Warming
        } else {
            UpstreamPhase::Serving
        }
    }

    pub(super) fn started(&mut self) {
        self.in_flight += 1;
    }

    /// Records the result of a call. A trial that took longer than `slow_limit` microseconds fails. Ejection is
    /// left to the pool, which enforces the limit on ejected upstreams. Returns whether the call was sent to the current
    /// incarnation.
    pub(super) fn finished(
        &mut self,
        now: MonotonicTime,
        latency: Duration,
        result: RouteResult,
        slow_limit: f64,
        settings: &RoutingSettings,
    ) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.stale_in_flight > 0 {
            self.stale_in_flight -= 1;
            return false;
        }
        let window = settings.latency_window;
        match result {
            RouteResult::Succeeded => {
                self.latency.record(now, latency, window);
                self.update_refused_share(now, 0.0, settings);
                self.succeeded(now, latency, slow_limit, settings);
            }
            RouteResult::Failed => {
                self.latency.record_failure(now, latency, window);
                self.health.failed(now, settings);
            }
            RouteResult::Unreachable => self.health.failed(now, settings),
            RouteResult::Refused => self.update_refused_share(now, 1.0, settings),
            RouteResult::Leaving => {
                self.info.leaving = true;
                self.has_refused_as_leaving = true;
            }
            RouteResult::FailedBelow => self.latency.record_failure(now, latency, window),
            RouteResult::Cancelled => self.latency.record_at_least(now, latency, window),
        }
        true
    }

    fn succeeded(
        &mut self,
        now: MonotonicTime,
        latency: Duration,
        slow_limit: f64,
        settings: &RoutingSettings,
    ) {
        if self.health.is_on_trial(now) && latency.as_micros() as f64 > slow_limit {
            self.health.failed(now, settings);
        } else if self.health.succeeded(now, settings) {
            // The latency from before the ejection must not eject the upstream again.
            self.latency = LatencyAverage::default();
            self.latency.record(now, latency, settings.latency_window);
            self.warm_up_start = now;
        }
    }

    fn recent_refusals(&self, now: MonotonicTime, settings: &RoutingSettings) -> f64 {
        let elapsed = now.since(self.refused_at);
        self.refused_share * (-elapsed.as_secs_f64() / settings.latency_window.as_secs_f64()).exp()
    }

    fn update_refused_share(
        &mut self,
        now: MonotonicTime,
        refused: f64,
        settings: &RoutingSettings,
    ) {
        let recent = self.recent_refusals(now, settings);
        self.refused_share = recent + (refused - recent) * REFUSAL_SAMPLE_WEIGHT;
        self.refused_at = now;
    }
}

/// Upper bound, in calls, of a caller's part of the slots. Keeps spill-over fast where the number of callers is not
/// known.
const MAX_SLOTS_PER_CALLER: f64 = 8.0;
/// Extra cost of an upstream that refuses every call, as a multiple of the cost of one that refuses none.
const REFUSAL_COST_FACTOR: f64 = 10.0;
/// Share of refusals, 0 to 1, from which an upstream's free slots say nothing.
const MAX_REFUSED_SHARE: f64 = 0.1;
/// Weight of one result in the share of refusals, 0 to 1.
const REFUSAL_SAMPLE_WEIGHT: f64 = 0.05;
