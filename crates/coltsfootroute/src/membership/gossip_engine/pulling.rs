//! Pulls that keep the records of the watched groups, and of the own one, equal to those of their members.

use std::time::Duration;

use indexmap::IndexSet;
use rand::{Rng, RngExt, seq::IteratorRandom};

use super::{GossipEngine, joining::jittered, watch_state::WatchState};
use crate::{
    id::NodeId,
    membership::{
        GossipEffect, GossipMessage, GossipPayload, GroupView, MAX_BUCKETS, MemberState,
        MemberUpdate, SendPriority,
    },
    name::ServiceName,
    time::MonotonicTime,
};

/// Maximum number of buckets requested from one member at a time; the remaining ones are left to the next pull.
const MAX_WANTED_BUCKETS: usize = 8;
/// Divisor of the pull interval for the next pull after one that returned nothing or not everything.
const EAGER_PULL_DIVISOR: u32 = 4;
/// Factor by which the pull interval grows for a group of which no member answers.
const UNREACHABLE_PULL_FACTOR: u32 = 3;
/// Delay before the retry of a pull that the bandwidth budget did not allow.
const DEFERRED_PULL_DELAY: Duration = Duration::from_millis(200);

impl GossipEngine {
    /// Pulls the groups that are due.
    pub(super) fn pull_watched(&mut self, now: MonotonicTime, rng: &mut impl Rng) {
        let due = self.watches.iter().filter(|(_, watch)| watch.due <= now);
        for service in due.map(|(service, _)| service.clone()).collect::<Vec<_>>() {
            self.pull(now, rng, &service);
        }
    }

    /// Handles a member's reply that its records are the same.
    pub(super) fn handle_match(&mut self, now: MonotonicTime, service: &ServiceName) {
        if let Some(watch) = self.watches.get_mut(service) {
            watch.note_answer(now);
        }
    }

    /// Handles the digests of a member's buckets: requests the records of buckets that differ.
    pub(super) fn handle_buckets(
        &mut self,
        now: MonotonicTime,
        rng: &mut impl Rng,
        from: NodeId,
        service: ServiceName,
        digests: &[u32],
    ) {
        self.handle_match(now, &service);
        let Some(group) = self.groups.get(&service) else { return };
        if !is_bucket_count(digests.len()) {
            return;
        }
        let own = group.bucket_digests(digests.len());
        let differing = (0..digests.len()).filter(|bucket| own[*bucket] != digests[*bucket]);
        let differing: Vec<_> = differing.map(|bucket| bucket as u16).collect();
        if differing.len() > MAX_WANTED_BUCKETS {
            self.pull_again_soon(now, &service);
        }
        let wanted = differing.into_iter().sample(rng, MAX_WANTED_BUCKETS);
        if wanted.is_empty() {
            return;
        }
        let bucket_count = digests.len() as u16;
        let payload = GossipPayload::PullRecords { service, bucket_count, wanted };
        self.send(now, SendPriority::Normal, from, GossipMessage::new(self.revision, payload));
    }

    /// Handles the records of some buckets: sends the member the live records that it lacks, so that its group can
    /// check them.
    pub(super) fn handle_records(
        &mut self,
        now: MonotonicTime,
        from: NodeId,
        service: &ServiceName,
        bucket_count: u16,
        complete: &[u16],
        updates: &[MemberUpdate],
    ) {
        let Some(group) = self.groups.get(service) else { return };
        let count = usize::from(bucket_count);
        if !is_bucket_count(count) {
            return;
        }
        let complete: IndexSet<u16> = complete.iter().copied().collect();
        let named: IndexSet<NodeId> = updates.iter().map(|update| update.record.node).collect();
        let own = group.bucket_updates(now, count, &complete).into_values().flatten();
        let missing = own
            .filter(|update| update.record.state.is_live() && !named.contains(&update.record.node));
        let missing: Vec<_> = missing.collect();
        self.send_corrections(now, from, missing);
    }

    /// Handles the reply of a node outside the group, which holds the members that it knows.
    pub(super) fn handle_seeds(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        has_updates: bool,
    ) {
        let Some(watch) = self.watches.get_mut(service) else { return };
        watch.pending = None;
        if has_updates {
            self.pull_again_soon(now, service);
        }
    }

    fn pull(&mut self, now: MonotonicTime, rng: &mut impl Rng, service: &ServiceName) {
        self.note_unanswered_pull(now, service);
        let interval = self.pull_interval(now, service);
        let target = self.pull_target(now, rng, service);
        let priority = self.pull_priority(now, service);
        let Some(digest) = self.groups.get(service).map(GroupView::digest) else { return };
        let mut wait = jittered(rng, interval);
        if let Some(target) = target {
            let payload = GossipPayload::Pull { service: service.clone(), digest };
            let message = GossipMessage::new(self.revision, payload);
            if !self.send(now, priority, target, message) {
                wait = DEFERRED_PULL_DELAY;
            } else if let Some(watch) = self.watches.get_mut(service) {
                watch.pending = Some(target);
            }
        }
        if let Some(watch) = self.watches.get_mut(service) {
            watch.due = now + wait;
        }
    }

    /// Notes the target of the last pull as silent if it has not answered, so that other members are preferred. Hides a
    /// group of which no member has answered pulls or calls for a long time.
    fn note_unanswered_pull(&mut self, now: MonotonicTime, service: &ServiceName) {
        let Some(watch) = self.watches.get_mut(service) else { return };
        let Some(target) = watch.pending.take() else { return };
        watch.silent.insert(target);
        let may_be_gone = watch.may_be_gone(now, self.settings.hide_after);
        if !may_be_gone || self.is_member_of(service) {
            return;
        }
        let Some(group) = self.groups.get(service) else { return };
        let watch = &self.watches[service];
        let all_silent = group.live().all(|record| watch.silent.contains(&record.node));
        if all_silent {
            self.hide_group(now, service);
        }
    }

    /// Hides the live members of a group that does not answer. Sends no update about them to other nodes, because the
    /// fault may be in this node's own connection.
    fn hide_group(&mut self, now: MonotonicTime, service: &ServiceName) {
        let Some(group) = self.groups.get_mut(service) else { return };
        let nodes: Vec<_> = group.live().map(|record| record.node).collect();
        if nodes.is_empty() {
            return;
        }
        for node in nodes {
            group.hide(now, node);
            let state = MemberState::Dead;
            self.effects.push(GossipEffect::MemberDown { service: service.clone(), node, state });
        }
        self.effects.push(GossipEffect::Changed { service: service.clone() });
    }

    /// Chooses the target of a pull: a random live member that has not failed to answer, else any live member, else a
    /// hidden or dead one, else any other known node. `None` if no node is known.
    fn pull_target(
        &self,
        now: MonotonicTime,
        rng: &mut impl Rng,
        service: &ServiceName,
    ) -> Option<NodeId> {
        let group = self.groups.get(service)?;
        let watch = self.watches.get(service)?;
        let others =
            || group.live().map(|record| record.node).filter(|node| *node != self.own_record.node);
        let answering = others().filter(|node| !watch.silent.contains(node)).choose(rng);
        // If no member answers, every second pull on average goes to a node outside the group.
        let elsewhere = rng.random_bool(0.5);
        let members = if elsewhere { None } else { others().choose(rng) };
        answering
            .or(members)
            .or_else(|| group.recovery_candidates().filter(|_| !elsewhere).choose(rng))
            .or_else(|| self.cross_group_target(now, rng))
            .or_else(|| others().choose(rng))
            .or_else(|| group.recovery_candidates().choose(rng))
    }

    /// Returns the interval until the next pull: short after an unanswered pull if there is another member to pull
    /// from; long for a group of which no member answers, so that the search for it does not use up the bandwidth of
    /// other traffic.
    fn pull_interval(&self, now: MonotonicTime, service: &ServiceName) -> Duration {
        let (Some(watch), Some(group)) = (self.watches.get(service), self.groups.get(service))
        else {
            return self.settings.pull_interval;
        };
        let interval = self.base_interval(now, service, watch);
        let others = group.live().filter(|record| record.node != self.own_record.node);
        let (mut has_untried, mut has_members) = (false, false);
        for member in others {
            has_members = true;
            has_untried |= !watch.silent.contains(&member.node);
        }
        let unreachable = !has_members && now.since(watch.last_answer) >= self.settings.hide_after;
        if unreachable {
            interval.max(self.settings.pull_interval * UNREACHABLE_PULL_FACTOR)
        } else if has_untried && !watch.silent.is_empty() {
            interval / EAGER_PULL_DIVISOR
        } else {
            interval
        }
    }

    fn base_interval(
        &self,
        now: MonotonicTime,
        service: &ServiceName,
        watch: &WatchState,
    ) -> Duration {
        let alone = self.groups.get(service).is_none_or(|group| group.live_count() <= 1);
        match self.is_member_of(service) {
            true if alone => self.settings.cross_group_interval,
            true => self.settings.sync_interval,
            false if self.is_cold(now, watch) => self.settings.cold_pull_interval,
            false => self.settings.pull_interval,
        }
    }

    fn pull_priority(&self, now: MonotonicTime, service: &ServiceName) -> SendPriority {
        let cold = self.watches.get(service).is_some_and(|watch| self.is_cold(now, watch));
        if cold { SendPriority::Low } else { SendPriority::Normal }
    }

    fn is_cold(&self, now: MonotonicTime, watch: &WatchState) -> bool {
        let many = self.watches.len() > self.settings.max_hot_watches;
        many && now.since(watch.last_used) >= self.settings.cold_after
    }

    fn pull_again_soon(&mut self, now: MonotonicTime, service: &ServiceName) {
        let wait = self.settings.pull_interval / EAGER_PULL_DIVISOR;
        if let Some(watch) = self.watches.get_mut(service) {
            watch.due = watch.due.min(now + wait);
        }
    }
}

/// Whether `count` is a valid number of buckets: a power of two up to [`MAX_BUCKETS`].
pub(super) fn is_bucket_count(count: usize) -> bool {
    count.is_power_of_two() && count <= MAX_BUCKETS
}
