//! The upstreams of one called service.

use std::time::Duration;

use indexmap::IndexMap;
use rand::{Rng, RngExt};

use super::{
    PoolStatus, RouteResult, RoutingSettings, UpstreamInfo, UpstreamStatus, UpstreamTier,
    upstream_choice::UpstreamChoice, upstream_record::UpstreamRecord,
};
use crate::{
    id::NodeId,
    name::{DomainName, RegionName},
    time::MonotonicTime,
};

/// The upstreams of one called service, as one caller sees them.
///
/// Invariants: an upstream that is leaving is never chosen again in that life; no upstream has more
/// calls in flight than its share, as long as each choice is followed by [`UpstreamPool::started`]
/// and the share does not shrink; no ejection brings more than [`RoutingSettings::most_ejected`] of
/// the live upstreams out of use, and where all are ejected they are used all the same.
#[derive(Clone, Debug)]
pub struct UpstreamPool {
    own_domain: DomainName,
    own_region: RegionName,
    settings: RoutingSettings,
    records: IndexMap<NodeId, UpstreamRecord>,
    /// Positions in `records` of the upstreams that are not leaving, by tier.
    tiers: [Vec<usize>; UpstreamTier::COUNT],
    /// Median of the upstreams' latency averages, microseconds; what an unknown one is taken to have.
    baseline: f64,
    calls_since_baseline: usize,
    chosen_near: u64,
    chosen_far: u64,
    ejections: u64,
}

impl UpstreamPool {
    /// An empty pool for a caller in `own_domain` of `own_region`.
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
            ejections: 0,
        }
    }

    /// Replaces the set of upstreams by what membership knows now.
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

    /// Sets the number of nodes that call the service, which divides its connections.
    pub fn set_callers(&mut self, callers: u32) {
        self.settings.callers = callers.max(1);
        for record in self.records.values_mut() {
            record.divide_connections(&self.settings);
        }
    }

    /// Chooses an upstream that is not in `exclude`; `None` where none takes a call now.
    ///
    /// Pass the upstreams that earlier attempts of this call went to as `exclude`.
    pub fn choose(
        &mut self,
        now: MonotonicTime,
        rng: &mut impl Rng,
        exclude: &[NodeId],
    ) -> Option<NodeId> {
        self.choose_admitted(now, rng, exclude, Duration::ZERO, |_| 1.0)
    }

    /// Chooses like [`UpstreamPool::choose`], but takes a guard that admits more of the call's importance
    /// before one that costs less. `admitted` gives the share that a guard admits, 0 to 1, as this caller
    /// last heard it. The more of `time_left` the call can spare, the more the own failure domain is preferred.
    pub fn choose_admitted(
        &mut self,
        now: MonotonicTime,
        rng: &mut impl Rng,
        exclude: &[NodeId],
        time_left: Duration,
        admitted: impl Fn(NodeId) -> f64,
    ) -> Option<NodeId> {
        let position = self.choose_position(now, rng, exclude, time_left, admitted)?;
        let (node, record) = self.records.get_index(position)?;
        match record.tier {
            UpstreamTier::OwnDomain => self.chosen_near += 1,
            UpstreamTier::OwnRegion | UpstreamTier::OtherRegion => self.chosen_far += 1,
        }
        Some(*node)
    }

    /// An upstream that leaves, not in `exclude`, where no other takes a call: a node that is to stop may
    /// guard its upstream for a moment longer, and says so itself if it does not.
    pub fn choose_departing(&self, now: MonotonicTime, exclude: &[NodeId]) -> Option<NodeId> {
        let departing = |record: &&UpstreamRecord| {
            !exclude.contains(&record.info.node) && record.is_departing(now, DEPARTING_TIME)
        };
        let fewest = self.records.values().filter(departing).min_by_key(|record| record.in_flight);
        fewest.map(|record| record.info.node)
    }

    /// The one of `among` that costs least and takes a call now.
    pub fn choose_among(&self, now: MonotonicTime, among: &[NodeId]) -> Option<NodeId> {
        let takes = among
            .iter()
            .filter_map(|node| self.records.get(node))
            .filter(|record| record.takes_calls(now));
        let cost = |record: &UpstreamRecord| record.cost(now, self.baseline, &self.settings);
        let cheapest = takes.min_by(|one, other| cost(one).total_cmp(&cost(other)));
        cheapest.map(|record| record.info.node)
    }

    /// Counts a call that starts.
    pub fn started(&mut self, _now: MonotonicTime, node: NodeId) {
        if let Some(record) = self.records.get_mut(&node) {
            record.started();
        }
    }

    /// Counts a call that ended after `latency`; call it once for each [`UpstreamPool::started`].
    pub fn finished(
        &mut self,
        now: MonotonicTime,
        node: NodeId,
        latency: Duration,
        result: RouteResult,
    ) {
        let slow_limit = self.slow_limit();
        let Some(record) = self.records.get_mut(&node) else { return };
        let was_live = record.is_live();
        record.finished(now, latency, result, slow_limit, &self.settings);
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
                self.learn_baseline();
                self.eject_if_slow(now, node);
            }
            RouteResult::Failed | RouteResult::Unreachable => self.eject_if_failing(now, node),
            RouteResult::FailedBelow
            | RouteResult::Refused
            | RouteResult::Leaving
            | RouteResult::Cancelled => {}
        }
    }

    /// Whether every upstream is unknown or leaving.
    pub fn is_empty(&self) -> bool {
        self.tiers.iter().all(Vec::is_empty)
    }

    /// Status for operators.
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

    /// Trusted upstreams first, then suspects and trials; ejected ones only where all are ejected.
    fn choose_position(
        &self,
        now: MonotonicTime,
        rng: &mut impl Rng,
        exclude: &[NodeId],
        time_left: Duration,
        admitted: impl Fn(NodeId) -> f64,
    ) -> Option<usize> {
        // A first attempt can still be retried, so it is the one to try an ejected upstream.
        let may_try = exclude.is_empty();
        let trusted = |record: &UpstreamRecord| {
            let ready = !record.health.is_ejected() || may_try;
            ready && record.takes_calls(now) && !record.info.suspect
        };
        if let Some(position) = self.choose_where(now, rng, exclude, time_left, &admitted, trusted)
        {
            return Some(position);
        }
        let any = |record: &UpstreamRecord| record.takes_calls(now);
        if let Some(position) = self.choose_where(now, rng, exclude, time_left, &admitted, any) {
            return Some(position);
        }
        let all_ejected = self.live().all(|record| record.health.is_ejected());
        if !all_ejected {
            return None;
        }
        self.choose_where(now, rng, exclude, time_left, &admitted, UpstreamRecord::has_room)
    }

    /// The best of two upstreams of each tier that `takes` a call, nearer tiers preferred.
    fn choose_where(
        &self,
        now: MonotonicTime,
        rng: &mut impl Rng,
        exclude: &[NodeId],
        time_left: Duration,
        admitted: impl Fn(NodeId) -> f64,
        takes: impl Fn(&UpstreamRecord) -> bool,
    ) -> Option<usize> {
        let takes = |record: &UpstreamRecord| !exclude.contains(&record.info.node) && takes(record);
        let mut best: Option<UpstreamChoice> = None;
        for (index, tier) in self.tiers.iter().enumerate() {
            let mut nearest: Option<UpstreamChoice> = None;
            for position in self.two_of(tier, rng, &takes).into_iter().flatten() {
                let record = &self.records[position];
                if record.wants_trial(now) {
                    return Some(position);
                }
                let cost = record.cost(now, self.baseline, &self.settings);
                let admitted = admitted(record.info.node);
                let choice = UpstreamChoice { position, admitted, cost };
                if nearest.is_none_or(|nearest| choice.is_better_than(&nearest)) {
                    nearest = Some(choice);
                }
            }
            let Some(choice) = nearest else { continue };
            let choice = choice.with_reluctance(self.reluctance(now, index, best, time_left));
            if best.is_none_or(|best| choice.is_better_than(&best)) {
                best = Some(choice);
            }
        }
        best.map(|choice| choice.position)
    }

    /// Up to two different upstreams of `tier` that take a call, drawn at random.
    fn two_of(
        &self,
        tier: &[usize],
        rng: &mut impl Rng,
        takes: &impl Fn(&UpstreamRecord) -> bool,
    ) -> [Option<usize>; 2] {
        let first = self.draw(tier, rng, |record| takes(record));
        let Some(position) = first else { return [None, None] };
        if tier.len() == 1 {
            return [first, None];
        }
        let second = self.draw(tier, rng, |record| {
            record.info.node != self.records[position].info.node && takes(record)
        });
        [first, second]
    }

    /// An upstream of `tier` that `takes` a call, drawn at random. Where most do not, the first one
    /// from a random place onwards.
    fn draw(
        &self,
        tier: &[usize],
        rng: &mut impl Rng,
        takes: impl Fn(&UpstreamRecord) -> bool,
    ) -> Option<usize> {
        if tier.is_empty() {
            return None;
        }
        for _ in 0..RANDOM_DRAWS {
            let position = tier[rng.random_range(0..tier.len())];
            if takes(&self.records[position]) {
                return Some(position);
            }
        }
        let start = rng.random_range(0..tier.len());
        let order = tier[start..].iter().chain(&tier[..start]);
        order.copied().find(|&position| takes(&self.records[position]))
    }

    /// Factor on the cost of an upstream of the tier at `index`, for a call with `time_left` that could go to
    /// `nearer`.
    fn reluctance(
        &self,
        now: MonotonicTime,
        index: usize,
        nearer: Option<UpstreamChoice>,
        time_left: Duration,
    ) -> f64 {
        if index == UpstreamTier::OwnDomain.index() {
            return 1.0;
        }
        let domain = self.domain_preference(now, nearer, time_left);
        if index == UpstreamTier::OwnRegion.index() {
            return domain;
        }
        domain * f64::from(self.settings.region_preference_percent) / 100.0
    }

    /// How many times worse `nearer` may look: the more, the more often the call's time would do for it.
    fn domain_preference(
        &self,
        now: MonotonicTime,
        nearer: Option<UpstreamChoice>,
        time_left: Duration,
    ) -> f64 {
        let settings = &self.settings;
        let least = f64::from(settings.domain_preference_percent) / 100.0;
        let most = f64::from(settings.most_domain_preference_percent) / 100.0;
        let Some(nearer) = nearer else { return least };
        let record = &self.records[nearer.position];
        let latency = record.latency.micros(now, settings.latency_window, self.baseline).max(1.0);
        let times = time_left.as_micros() as f64 / latency;
        (times / SPARE_TIMES).clamp(least, most)
    }

    /// Takes the median over the upstreams' averages anew, once for as many calls as there are
    /// upstreams, so that a call's cost does not grow with the pool.
    fn learn_baseline(&mut self) {
        self.calls_since_baseline += 1;
        if self.calls_since_baseline < self.records.len().max(LEAST_CALLS_PER_BASELINE) {
            return;
        }
        self.calls_since_baseline = 0;
        let observed = self.live().filter_map(|record| record.latency.observed());
        let mut averages: Vec<f64> = observed.collect();
        if averages.is_empty() {
            return;
        }
        let middle = (averages.len() - 1) / 2;
        let (_, median, _) = averages.select_nth_unstable_by(middle, f64::total_cmp);
        self.baseline = *median;
    }

    fn eject_if_failing(&mut self, now: MonotonicTime, node: NodeId) {
        let failing = self.records.get(&node).is_some_and(|record| {
            record.health.failures_in_row() >= self.settings.failures_to_eject
        });
        if failing {
            self.eject(now, node);
        }
    }

    fn eject_if_slow(&mut self, now: MonotonicTime, node: NodeId) {
        let Some(record) = self.records.get(&node) else { return };
        // Latency to another region is mostly the way there; the cost of a choice takes care of it.
        if record.tier == UpstreamTier::OtherRegion
            || record.latency.samples() < self.settings.samples_to_eject
        {
            return;
        }
        if record.latency.observed().is_some_and(|micros| micros > self.slow_limit()) {
            self.eject(now, node);
        }
    }

    /// Latency above which an upstream is slow, in microseconds.
    fn slow_limit(&self) -> f64 {
        self.baseline * f64::from(self.settings.slow_factor)
    }

    fn eject(&mut self, now: MonotonicTime, node: NodeId) {
        let members = self.live().count();
        let ejected = self.live().filter(|record| record.health.is_ejected()).count();
        let Some(record) = self.records.get_mut(&node) else { return };
        if record.health.is_ejected() || ejected >= self.settings.most_ejected(members) {
            return;
        }
        record.health.eject(now, &self.settings);
        self.ejections += 1;
    }
}

/// How many times its usual latency a call's time has to hold for one more of preference: latencies spread, and one in
/// a hundred calls takes some four times the mean.
const SPARE_TIMES: f64 = 4.0;
/// Latency that the first upstream of a pool is taken to have: 10 ms.
const INITIAL_BASELINE_MICROS: f64 = 10_000.0;
/// How long an upstream that leaves is asked where no other takes a call. Longer than a node guards on while
/// it stops, and so short that those that have gone are not asked for long.
const DEPARTING_TIME: Duration = Duration::from_secs(4);
/// Draws at random before a scan: a scan favours the upstream after one that takes no calls.
const RANDOM_DRAWS: usize = 4;
/// Least calls between two looks at the median.
const LEAST_CALLS_PER_BASELINE: usize = 16;
