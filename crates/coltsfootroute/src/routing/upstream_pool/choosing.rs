//! Choice of the upstream for a call.

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

/// Multiple of the nearer upstream's latency that must fit into a call's remaining time for each unit of preference.
/// Latencies vary: one call in a hundred takes about four times the mean.
const LATENCIES_PER_PREFERENCE: f64 = 4.0;
/// Longest time for which a leaving upstream is tried when no other upstream accepts calls. Longer than a stopping
/// node keeps guarding its upstream, but short enough that nodes that are gone are soon no longer tried.
const MAX_DEPARTING_TIME: Duration = Duration::from_secs(4);
/// Factor by which an upstream outside the own failure domain counts as more occupied than it is: an equally occupied
/// one nearby is preferred.
const FAR_OCCUPANCY_FACTOR: f64 = 1.1;
/// Maximum number of random draws before a linear scan, which favours the upstreams that follow one that accepts no
/// calls.
const MAX_RANDOM_DRAWS: usize = 4;

/// An upstream that was chosen for a call.
struct UpstreamChoice {
    /// Index of its record in the pool.
    position: usize,
    /// Whether it is known to have free slots, and a full upstream was passed over for it.
    passed_full: bool,
}

impl UpstreamPool {
    /// Chooses an upstream that is not in `exclude`; `None` if none accepts a call now.
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

    /// Chooses like [`UpstreamPool::choose`], but prefers a guard that admits more calls of this importance to one
    /// with a lower cost. `admitted` returns the share that a guard admits, 0 to 1, as last reported to this caller.
    /// The larger `time_left` is relative to the latency of the nearer upstream, the more the own failure domain is
    /// preferred.
    pub fn choose_admitted(
        &mut self,
        now: MonotonicTime,
        rng: &mut impl Rng,
        exclude: &[NodeId],
        time_left: Duration,
        admitted: impl Fn(NodeId) -> f64,
    ) -> Option<NodeId> {
        let choice = self.choose_position(now, rng, exclude, time_left, admitted)?;
        self.passed_full += u64::from(choice.passed_full);
        let (node, record) = self.records.get_index(choice.position)?;
        match record.tier {
            UpstreamTier::OwnDomain => self.chosen_near += 1,
            UpstreamTier::OwnRegion | UpstreamTier::OtherRegion => self.chosen_far += 1,
        }
        Some(*node)
    }

    /// Chooses the leaving upstream with the fewest calls in flight that is not in `exclude`; `None` if there is none.
    ///
    /// Meant for calls that no other upstream accepts: a node that is stopping may still guard its upstream for a
    /// short time, and refuses the call itself if it does not.
    pub fn choose_departing(&self, now: MonotonicTime, exclude: &[NodeId]) -> Option<NodeId> {
        let departing = |record: &&UpstreamRecord| {
            !exclude.contains(&record.info.node) && record.is_departing(now, MAX_DEPARTING_TIME)
        };
        let fewest = self.records.values().filter(departing).min_by_key(|record| record.in_flight);
        fewest.map(|record| record.info.node)
    }

    /// Returns the upstream of `among` with the lowest cost that accepts a call now; `None` if none does.
    pub fn choose_among(&self, now: MonotonicTime, among: &[NodeId]) -> Option<NodeId> {
        let accepting = among
            .iter()
            .filter_map(|node| self.records.get(node))
            .filter(|record| record.accepts_calls(now));
        let cost = |record: &UpstreamRecord| record.cost(now, self.baseline, &self.settings);
        let cheapest = accepting.min_by(|one, other| cost(one).total_cmp(&cost(other)));
        cheapest.map(|record| record.info.node)
    }

    /// Chooses among trusted upstreams first, then among suspects and trials. Uses ejected upstreams only if all live
    /// upstreams are ejected. `None` if none accepts a call.
    fn choose_position(
        &self,
        now: MonotonicTime,
        rng: &mut impl Rng,
        exclude: &[NodeId],
        time_left: Duration,
        admitted: impl Fn(NodeId) -> f64,
    ) -> Option<UpstreamChoice> {
        // Only first attempts are used as trials of ejected upstreams, because they can still be retried.
        let may_start_trial = exclude.is_empty();
        let trusted = |record: &UpstreamRecord| {
            let ready = !record.health.is_ejected() || may_start_trial;
            ready && record.accepts_calls(now) && !record.info.suspect
        };
        if let Some(choice) = self.choose_where(now, rng, exclude, time_left, &admitted, trusted) {
            return Some(choice);
        }
        let any = |record: &UpstreamRecord| record.accepts_calls(now);
        if let Some(choice) = self.choose_where(now, rng, exclude, time_left, &admitted, any) {
            return Some(choice);
        }
        let all_ejected = self.live().all(|record| record.health.is_ejected());
        if !all_ejected {
            return None;
        }
        self.choose_where(now, rng, exclude, time_left, &admitted, UpstreamRecord::has_capacity)
    }

    /// Draws two upstreams of each tier for which `accepts` holds and returns the best of all, nearer tiers preferred.
    fn choose_where(
        &self,
        now: MonotonicTime,
        rng: &mut impl Rng,
        exclude: &[NodeId],
        time_left: Duration,
        admitted: impl Fn(NodeId) -> f64,
        accepts: impl Fn(&UpstreamRecord) -> bool,
    ) -> Option<UpstreamChoice> {
        let accepts =
            |record: &UpstreamRecord| !exclude.contains(&record.info.node) && accepts(record);
        let mut best: Option<UpstreamCandidate> = None;
        let mut has_full = false;
        for (index, tier) in self.tiers.iter().enumerate() {
            let mut nearest: Option<UpstreamCandidate> = None;
            for position in self.draw_two(tier, rng, &accepts).into_iter().flatten() {
                let record = &self.records[position];
                if record.may_start_trial(now) {
                    return Some(UpstreamChoice { position, passed_full: false });
                }
                let cost = record.cost(now, self.baseline, &self.settings);
                let admitted = admitted(record.info.node);
                // Other regions are compared by cost alone, which includes the time of the way there.
                let is_in_region = index != UpstreamTier::OtherRegion.index();
                let occupancy = record.occupancy(now, &self.settings).filter(|_| is_in_region);
                let candidate = UpstreamCandidate { position, admitted, cost, occupancy };
                has_full |= candidate.is_full();
                if nearest.is_none_or(|nearest| candidate.is_better_than(&nearest)) {
                    nearest = Some(candidate);
                }
            }
            let Some(candidate) = nearest else { continue };
            let candidate = candidate
                .with_cost_factor(self.cost_factor(now, index, best, time_left))
                .with_occupancy_factor(occupancy_factor(index));
            if best.is_none_or(|best| candidate.is_better_than(&best)) {
                best = Some(candidate);
            }
        }
        best.map(|candidate| UpstreamChoice {
            position: candidate.position,
            passed_full: has_full && candidate.has_free_slots(),
        })
    }

    /// Draws up to two different upstreams of `tier` at random for which `accepts` holds.
    fn draw_two(
        &self,
        tier: &[usize],
        rng: &mut impl Rng,
        accepts: &impl Fn(&UpstreamRecord) -> bool,
    ) -> [Option<usize>; 2] {
        let first = self.draw(tier, rng, |record| accepts(record));
        let Some(position) = first else { return [None, None] };
        if tier.len() == 1 {
            return [first, None];
        }
        let second = self.draw(tier, rng, |record| {
            record.info.node != self.records[position].info.node && accepts(record)
        });
        [first, second]
    }

    /// Draws an upstream of `tier` at random for which `accepts` holds. After [`MAX_RANDOM_DRAWS`] failed draws,
    /// returns the first such upstream from a random position onwards.
    fn draw(
        &self,
        tier: &[usize],
        rng: &mut impl Rng,
        accepts: impl Fn(&UpstreamRecord) -> bool,
    ) -> Option<usize> {
        if tier.is_empty() {
            return None;
        }
        for _ in 0..MAX_RANDOM_DRAWS {
            let position = tier[rng.random_range(0..tier.len())];
            if accepts(&self.records[position]) {
                return Some(position);
            }
        }
        let start = rng.random_range(0..tier.len());
        let order = tier[start..].iter().chain(&tier[..start]);
        order.copied().find(|&position| accepts(&self.records[position]))
    }

    /// Returns the factor on the cost of an upstream of the tier at `index`, for a call with `time_left` whose best
    /// candidate from nearer tiers is `nearer`.
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

    /// Returns the factor by which the cost of `nearer` may exceed that of an upstream outside the own failure domain.
    /// It grows with the number of times that the latency of `nearer` fits into `time_left`.
    fn domain_preference(
        &self,
        now: MonotonicTime,
        nearer: Option<UpstreamCandidate>,
        time_left: Duration,
    ) -> f64 {
        let settings = &self.settings;
        let min = f64::from(settings.domain_preference_percent) / 100.0;
        let max = f64::from(settings.max_domain_preference_percent) / 100.0;
        let Some(nearer) = nearer else { return min };
        let record = &self.records[nearer.position];
        let latency = record.latency.micros(now, settings.latency_window, self.baseline).max(1.0);
        let times = time_left.as_micros() as f64 / latency;
        (times / LATENCIES_PER_PREFERENCE).clamp(min, max)
    }
}

/// Returns the factor on the occupancy of an upstream of the tier at `index`.
fn occupancy_factor(index: usize) -> f64 {
    if index == UpstreamTier::OwnDomain.index() { 1.0 } else { FAR_OCCUPANCY_FACTOR }
}
