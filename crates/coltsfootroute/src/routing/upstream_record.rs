//! What a pool keeps of one upstream.

use std::time::Duration;

use super::{
    InFlightShare, RouteResult, RoutingSettings, UpstreamInfo, UpstreamPhase, UpstreamTier,
    latency_average::LatencyAverage, upstream_health::UpstreamHealth,
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
    /// Whether membership names it; one that it no longer names stays only while calls are in flight.
    pub(super) present: bool,
    /// When it was first heard to leave.
    leaving_since: Option<MonotonicTime>,
    /// Whether it has itself refused a call as leaving.
    has_refused_as_leaving: bool,
    /// Calls started and not finished, to this life and earlier ones.
    pub(super) in_flight: u32,
    /// Calls of `in_flight` that were started in an earlier life; their results say nothing of this one.
    stale_in_flight: u32,
    /// Share of refusals among recent results, 0 to 1.
    refused_share: f64,
    refused_at: MonotonicTime,
    warming_since: MonotonicTime,
}

impl UpstreamRecord {
    pub(super) fn new(
        now: MonotonicTime,
        info: UpstreamInfo,
        tier: UpstreamTier,
        settings: &RoutingSettings,
    ) -> Self {
        let share = InFlightShare::new(info.connections, settings.callers, settings.least_share);
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
            warming_since: now,
        }
    }

    /// Takes in newer knowledge from membership; older knowledge is ignored.
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
        let left = self.info.leaving;
        self.info = info;
        self.info.leaving |= left;
        if self.info.leaving {
            self.leaving_since.get_or_insert(now);
        }
        self.tier = tier;
        self.divide_connections(settings);
    }

    /// Works out this caller's share anew.
    pub(super) fn divide_connections(&mut self, settings: &RoutingSettings) {
        let connections = self.info.connections;
        self.share = InFlightShare::new(connections, settings.callers, settings.least_share);
    }

    /// Whether it belongs to the live part of the pool.
    pub(super) fn is_live(&self) -> bool {
        self.present && !self.info.leaving
    }

    /// Whether it may still take calls although it leaves: it has not refused any as yet, and its leave is
    /// `recent`.
    pub(super) fn is_departing(&self, now: MonotonicTime, recent: Duration) -> bool {
        let is_recent = self.leaving_since.is_some_and(|since| now.since(since) < recent);
        is_recent && !self.has_refused_as_leaving && self.in_flight < self.share.0
    }

    /// Whether this caller's share has room for a call.
    pub(super) fn has_room(&self) -> bool {
        self.is_live() && self.in_flight < self.share.0
    }

    /// Whether a call may be sent, suspicion aside.
    pub(super) fn takes_calls(&self, now: MonotonicTime) -> bool {
        self.has_room() && (!self.health.is_ejected() || self.wants_trial(now))
    }

    /// Whether a trial call may start: one at a time, and none before the calls that led to the
    /// ejection have ended.
    pub(super) fn wants_trial(&self, now: MonotonicTime) -> bool {
        self.in_flight == 0 && self.health.is_on_trial(now)
    }

    /// How bad a choice the upstream is: expected wait per slot, in microseconds.
    pub(super) fn cost(
        &self,
        now: MonotonicTime,
        baseline: f64,
        settings: &RoutingSettings,
    ) -> f64 {
        let slots = f64::from(self.info.slots.max(1));
        // Fewer calls than this caller's part of the slots tell little of the upstream's load.
        let part = (slots / f64::from(settings.callers.max(1))).clamp(1.0, MOST_PART);
        let latency = self.latency.micros(now, settings.latency_window, baseline).max(1.0);
        let waiting = f64::from(self.in_flight) + part;
        let room = slots * self.weight(now, settings);
        let refusals = self.recent_refusals(now, settings);
        latency * waiting / room * (1.0 + REFUSAL_PENALTY * refusals)
    }

    /// Weight from just above 0 to 1.
    pub(super) fn weight(&self, now: MonotonicTime, settings: &RoutingSettings) -> f64 {
        let elapsed = now.since(self.warming_since);
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

    /// Takes in a call's result; ejection is left to the pool, which knows the cap. A trial that took
    /// longer than `slow_limit` microseconds fails.
    pub(super) fn finished(
        &mut self,
        now: MonotonicTime,
        latency: Duration,
        result: RouteResult,
        slow_limit: f64,
        settings: &RoutingSettings,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.stale_in_flight > 0 {
            self.stale_in_flight -= 1;
            return;
        }
        let window = settings.latency_window;
        match result {
            RouteResult::Succeeded => {
                self.latency.record(now, latency, window);
                self.count_refusal(now, 0.0, settings);
                self.succeeded(now, latency, slow_limit, settings);
            }
            RouteResult::Failed => {
                self.latency.record_failure(now, latency, window);
                self.health.failed(now, settings);
            }
            RouteResult::Unreachable => self.health.failed(now, settings),
            RouteResult::Refused => self.count_refusal(now, 1.0, settings),
            RouteResult::Leaving => {
                self.info.leaving = true;
                self.has_refused_as_leaving = true;
            }
            RouteResult::FailedBelow => self.latency.record_failure(now, latency, window),
            RouteResult::Cancelled => self.latency.record_at_least(now, latency, window),
        }
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
            // What it was like before the ejection must not eject it again.
            self.latency = LatencyAverage::default();
            self.latency.record(now, latency, settings.latency_window);
            self.warming_since = now;
        }
    }

    fn recent_refusals(&self, now: MonotonicTime, settings: &RoutingSettings) -> f64 {
        let elapsed = now.since(self.refused_at);
        self.refused_share * (-elapsed.as_secs_f64() / settings.latency_window.as_secs_f64()).exp()
    }

    fn count_refusal(&mut self, now: MonotonicTime, refused: f64, settings: &RoutingSettings) {
        let recent = self.recent_refusals(now, settings);
        self.refused_share = recent + (refused - recent) * REFUSAL_GAIN;
        self.refused_at = now;
    }
}

/// Most calls in flight that tell little: keeps spill-over quick where the callers are not counted.
const MOST_PART: f64 = 8.0;
/// How much an upstream that refuses everything costs above one that refuses nothing.
const REFUSAL_PENALTY: f64 = 10.0;
/// Weight of one result in the share of refusals.
const REFUSAL_GAIN: f64 = 0.05;
