//! Pool of the upstreams of one called service.

mod choosing;
mod ejecting;

use std::time::Duration;

use indexmap::IndexMap;

use super::{
    PoolStatus, RouteResult, RoutingSettings, UpstreamInfo, UpstreamOccupancy, UpstreamStatus,
    UpstreamTier, upstream_record::UpstreamRecord,
};
use crate::{
    id::NodeId,
    name::{DomainName, RegionName},
    time::MonotonicTime,
};

/// Latency that is assumed until the median of a pool is known, in microseconds.
const INITIAL_BASELINE_MICROS: f64 = 10_000.0;

/// The upstreams of one called service, as observed by one caller.
///
/// Invariants:
///
/// - [`UpstreamPool::choose`] never chooses a leaving upstream again in the same incarnation.
/// - No upstream has more calls in flight than its share, provided that each choice is followed by
///   [`UpstreamPool::started`] and the share does not shrink.
/// - An ejection never brings the number of ejected live upstreams above [`RoutingSettings::max_ejected`]. If all
///   live upstreams are ejected, they are used nevertheless.
#[derive(Clone, Debug)]
pub struct UpstreamPool {
    own_domain: DomainName,
    own_region: RegionName,
    settings: RoutingSettings,
    records: IndexMap<NodeId, UpstreamRecord>,
    /// Positions in `records` of the live upstreams, by tier.
    tiers: [Vec<usize>; UpstreamTier::COUNT],
    /// Median of the upstreams' latency averages in microseconds; assumed for an upstream without samples.
    baseline: f64,
    calls_since_baseline: usize,
    chosen_near: u64,
    chosen_far: u64,
    /// Choices of an upstream with free slots for which a full one was passed over.
    passed_full: u64,
    ejections: u64,
}

impl UpstreamPool {
    /// Creates an empty pool for a caller in `own_domain` of `own_region`.
    pub fn new(own_domain: DomainName, own_region: RegionName, settings: RoutingSettings) -> Self {
        Self {
            own_domain,
            own_region,
            settings,
            records: IndexMap::new(),
            tiers: Default::default(),
            baseline: INITIAL_BASELINE_MICROS,
            calls_since_baseline: 0,
            chosen_near: 0,
            chosen_far: 0,
            passed_full: 0,
            ejections: 0,
        }
    }

    /// Replaces the set of upstreams with the one that membership reports.
    pub fn update(
        &mut self,
        now: MonotonicTime,
        upstreams: impl IntoIterator<Item = UpstreamInfo>,
    ) {
        for record in self.records.values_mut() {
            record.present = false;
        }
        for info in upstreams {
            let tier = self.tier_of(&info);
            match self.records.get_mut(&info.node) {
                Some(record) => record.update(now, info, tier, &self.settings),
                None => {
                    let record = UpstreamRecord::new(now, info, tier, &self.settings);
                    self.records.insert(record.info.node, record);
                }
            }
        }
        self.records.retain(|_, record| record.present || record.in_flight > 0);
        self.rebuild_tiers();
    }

    /// Sets the number of nodes that call the service, between which its connections are divided.
    pub fn set_callers(&mut self, callers: u32) {
        self.settings.callers = callers.max(1);
        for record in self.records.values_mut() {
            record.update_share(&self.settings);
        }
    }

    /// Records the start of a call.
    pub fn started(&mut self, _now: MonotonicTime, node: NodeId) {
        if let Some(record) = self.records.get_mut(&node) {
            record.started();
        }
    }

    /// Records the end of a call after `latency`. Must be called once for each [`UpstreamPool::started`].
    pub fn finished(
        &mut self,
        now: MonotonicTime,
        node: NodeId,
        latency: Duration,
        result: RouteResult,
    ) {
        self.finished_with_load(now, node, latency, result, None);
    }

    /// Records the end of a call like [`UpstreamPool::finished`], and how full the guard was when it replied, if it
    /// reported that.
    pub fn finished_with_load(
        &mut self,
        now: MonotonicTime,
        node: NodeId,
        latency: Duration,
        result: RouteResult,
        occupancy: Option<UpstreamOccupancy>,
    ) {
        let slow_limit = self.slow_limit();
        let Some(record) = self.records.get_mut(&node) else { return };
        let was_live = record.is_live();
        let is_current = record.finished(now, latency, result, slow_limit, &self.settings);
        if let Some(occupancy) = occupancy.filter(|_| is_current) {
            record.note_occupancy(now, occupancy);
        }
        if !record.present && record.in_flight == 0 {
            self.records.swap_remove(&node);
            self.rebuild_tiers();
            return;
        }
        if record.is_live() != was_live {
            self.rebuild_tiers();
        }
        match result {
            RouteResult::Succeeded => {
                self.update_baseline();
                self.eject_if_slow(now, node);
            }
            RouteResult::Failed | RouteResult::Unreachable => self.eject_if_failing(now, node),
            RouteResult::FailedBelow
            | RouteResult::Refused
            | RouteResult::Leaving
            | RouteResult::Cancelled => {}
        }
    }

    /// Returns whether the pool has no live upstream.
    pub fn is_empty(&self) -> bool {
        self.tiers.iter().all(Vec::is_empty)
    }

    /// Returns the number of choices of an upstream with free slots for which a full one was passed over.
    pub fn passed_full(&self) -> u64 {
        self.passed_full
    }

    /// Returns the pool's status for operators.
    pub fn status(&self, now: MonotonicTime) -> PoolStatus {
        let mut upstreams: Vec<_> =
            self.records.values().map(|record| self.status_of(now, record)).collect();
        upstreams.sort_by_key(|status| status.node);
        PoolStatus {
            upstreams,
            chosen_near: self.chosen_near,
            chosen_far: self.chosen_far,
            ejections: self.ejections,
        }
    }

    fn status_of(&self, now: MonotonicTime, record: &UpstreamRecord) -> UpstreamStatus {
        UpstreamStatus {
            node: record.info.node,
            incarnation: record.info.incarnation,
            tier: record.tier,
            phase: record.phase(now, &self.settings),
            in_flight: record.in_flight,
            share: record.share,
            latency: record.latency.observed().map(|micros| Duration::from_micros(micros as u64)),
            weight_percent: (record.weight(now, &self.settings) * 100.0) as u32,
        }
    }

    fn tier_of(&self, info: &UpstreamInfo) -> UpstreamTier {
        if info.domain == self.own_domain {
            UpstreamTier::OwnDomain
        } else if info.region == self.own_region {
            UpstreamTier::OwnRegion
        } else {
            UpstreamTier::OtherRegion
        }
    }

    fn live(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.records.values().filter(|record| record.is_live())
    }

    fn rebuild_tiers(&mut self) {
        for tier in &mut self.tiers {
            tier.clear();
        }
        for (position, record) in self.records.values().enumerate() {
            if record.is_live() {
                self.tiers[record.tier.index()].push(position);
            }
        }
    }
}
