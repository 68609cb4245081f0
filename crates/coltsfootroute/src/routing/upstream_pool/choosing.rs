//! Choosing the upstream for a call.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::UpstreamPool;
use crate::{
    id::NodeId,
    routing::{
        UpstreamTier, upstream_candidate::UpstreamCandidate, upstream_record::UpstreamRecord,
    },
    time::MonotonicTime,
};

/// How many times its usual latency a call's time has to hold for one more of preference: latencies spread, and one in
/// a hundred calls takes some four times the mean.
const LATENCIES_PER_PREFERENCE: f64 = 4.0;
/// How long an upstream that leaves is asked where no other takes a call. Longer than a node guards on while
/// it stops, and so short that those that have gone are not asked for long.
const MAX_DEPARTING_TIME: Duration = Duration::from_secs(4);
/// Draws at random before a scan: a scan favours the upstream after one that takes no calls.
const MAX_RANDOM_DRAWS: usize = 4;

impl UpstreamPool {
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
            !exclude.contains(&record.info.node) && record.is_departing(now, MAX_DEPARTING_TIME)
        };
        let fewest = self.records.values().filter(departing).min_by_key(|record| record.in_flight);
        fewest.map(|record| record.info.node)
    }

    /// The one of `among` that costs least and takes a call now.
    pub fn choose_among(&self, now: MonotonicTime, among: &[NodeId]) -> Option<NodeId> {
        let takes = among
            .iter()
            .filter_map(|node| self.records.get(node))
            .filter(|record| record.accepts_calls(now));
        let cost = |record: &UpstreamRecord| record.cost(now, self.baseline, &self.settings);
        let cheapest = takes.min_by(|one, other| cost(one).total_cmp(&cost(other)));
        cheapest.map(|record| record.info.node)
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
        let may_start_trial = exclude.is_empty();
        let trusted = |record: &UpstreamRecord| {
            let ready = !record.health.is_ejected() || may_start_trial;
            ready && record.accepts_calls(now) && !record.info.suspect
        };
        if let Some(position) = self.choose_where(now, rng, exclude, time_left, &admitted, trusted)
        {
            return Some(position);
        }
        let any = |record: &UpstreamRecord| record.accepts_calls(now);
        if let Some(position) = self.choose_where(now, rng, exclude, time_left, &admitted, any) {
            return Some(position);
        }
        let all_ejected = self.live().all(|record| record.health.is_ejected());
        if !all_ejected {
            return None;
        }
        self.choose_where(now, rng, exclude, time_left, &admitted, UpstreamRecord::has_capacity)
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
        let mut best: Option<UpstreamCandidate> = None;
        for (index, tier) in self.tiers.iter().enumerate() {
            let mut nearest: Option<UpstreamCandidate> = None;
            for position in self.draw_two(tier, rng, &takes).into_iter().flatten() {
                let record = &self.records[position];
                if record.may_start_trial(now) {
                    return Some(position);
                }
                let cost = record.cost(now, self.baseline, &self.settings);
                let admitted = admitted(record.info.node);
                let candidate = UpstreamCandidate { position, admitted, cost };
                if nearest.is_none_or(|nearest| candidate.is_better_than(&nearest)) {
                    nearest = Some(candidate);
                }
            }
            let Some(candidate) = nearest else { continue };
            let candidate =
                candidate.with_cost_factor(self.cost_factor(now, index, best, time_left));
            if best.is_none_or(|best| candidate.is_better_than(&best)) {
                best = Some(candidate);
            }
        }
        best.map(|candidate| candidate.position)
    }

    /// Up to two different upstreams of `tier` that take a call, drawn at random.
    fn draw_two(
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
        for _ in 0..MAX_RANDOM_DRAWS {
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
    fn cost_factor(
        &self,
        now: MonotonicTime,
        index: usize,
        nearer: Option<UpstreamCandidate>,
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
        nearer: Option<UpstreamCandidate>,
        time_left: Duration,
    ) -> f64 {
        let settings = &self.settings;
        let least = f64::from(settings.domain_preference_percent) / 100.0;
        let most = f64::from(settings.max_domain_preference_percent) / 100.0;
        let Some(nearer) = nearer else { return least };
        let record = &self.records[nearer.position];
        let latency = record.latency.micros(now, settings.latency_window, self.baseline).max(1.0);
        let times = time_left.as_micros() as f64 / latency;
        (times / LATENCIES_PER_PREFERENCE).clamp(least, most)
    }
}
