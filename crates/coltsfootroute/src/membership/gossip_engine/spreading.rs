//! Sending of messages: piggybacked updates, priorities and the outbox.

use rand::{Rng, seq::IteratorRandom};

use super::GossipEngine;
use crate::{
    id::NodeId,
    membership::{
        DATAGRAM_OVERHEAD_BYTES, GossipEffect, GossipMessage, GossipPayload, GroupView,
        MemberState, MemberUpdate, SendPriority,
    },
    name::ServiceName,
    time::MonotonicTime,
};

/// Maximum number of updates of the own group piggybacked on one ping or acknowledgement.
const MAX_PIGGYBACKED_UPDATES: usize = 8;
/// Maximum number of members of a service in a reply to a node outside the group.
pub(super) const SEEDS_PER_ANSWER: usize = 3;

impl GossipEngine {
    /// Sends a message if the bandwidth budget allows it. Returns whether it was sent.
    pub(super) fn send(
        &mut self,
        now: MonotonicTime,
        priority: SendPriority,
        to: NodeId,
        message: GossipMessage,
    ) -> bool {
        let message = GossipMessage { quarantine: self.quarantine, ..message };
        let bytes = (message.wire_bytes() + DATAGRAM_OVERHEAD_BYTES) as u64;
        if !self.budget.try_acquire(now, priority, bytes) {
            self.counters.deferred += 1;
            return false;
        }
        self.counters.count(message.payload.kind(), bytes);
        self.effects.push(GossipEffect::Send { to, message });
        true
    }

    /// Sends a message, or queues it until the bandwidth budget allows it. Drops it if the outbox is full.
    pub(super) fn send_or_queue(
        &mut self,
        now: MonotonicTime,
        priority: SendPriority,
        to: NodeId,
        message: GossipMessage,
    ) {
        if self.send(now, priority, to, message.clone()) {
            return;
        }
        if self.outbox.len() >= self.settings.max_outbox {
            self.counters.dropped += 1;
            return;
        }
        self.outbox.push_back((to, message));
    }

    /// Sends the queued messages in order, as far as the bandwidth budget allows.
    pub(super) fn drain_outbox(&mut self, now: MonotonicTime) {
        while let Some((to, message)) = self.outbox.pop_front() {
            if !self.send(now, SendPriority::Normal, to, message.clone()) {
                self.outbox.push_front((to, message));
                return;
            }
        }
    }

    /// Creates a ping or acknowledgement for `to`. Adds the own record, the record of the receiver if it is not alive
    /// in the own group, and updates of the group or entry points to other services.
    pub(super) fn message_to(
        &mut self,
        now: MonotonicTime,
        rng: &mut impl Rng,
        to: NodeId,
        payload: GossipPayload,
    ) -> GossipMessage {
        let mut message = GossipMessage::new(self.revision, payload);
        message.fill([MemberUpdate::new(self.own_record.clone())]);
        message.fill(self.record_to_refute(now, to));
        if self.own_group().is_some_and(|group| group.get(to).is_some()) {
            self.add_pending_updates(now, to, &mut message);
        } else {
            message.fill(self.sample_seeds(now, rng));
        }
        message
    }

    /// Sends the record of `node` immediately to some random members of the own group and, with `to_pullers`, to its
    /// recent watchers.
    pub(super) fn push_eagerly(
        &mut self,
        now: MonotonicTime,
        rng: &mut impl Rng,
        node: NodeId,
        fanout: usize,
        to_pullers: bool,
    ) {
        let Some(update) = self.own_group().and_then(|group| group.update(now, node)) else {
            return;
        };
        let mut receivers = self.random_members(rng, fanout);
        if to_pullers {
            receivers.extend(self.recent_pullers(now));
        }
        receivers.sort_unstable();
        receivers.dedup();
        for to in receivers.into_iter().filter(|to| *to != node) {
            let mut message = GossipMessage::new(self.revision, GossipPayload::Push);
            message.fill([update.clone()]);
            self.send_or_queue(now, SendPriority::High, to, message);
        }
    }

    /// Sends the record of a new member to the recent watchers, as far as the bandwidth budget allows; the others
    /// receive it by their next pull. Only members to which the new member sent its record itself call this.
    pub(super) fn push_to_watchers(&mut self, now: MonotonicTime, node: NodeId) {
        let Some(update) = self.own_group().and_then(|group| group.update(now, node)) else {
            return;
        };
        for to in self.recent_pullers(now).into_iter().filter(|to| *to != node) {
            let mut message = GossipMessage::new(self.revision, GossipPayload::Push);
            message.fill([update.clone()]);
            self.send(now, SendPriority::Normal, to, message);
        }
    }

    /// Returns the nodes that have pulled the own group recently, including those that pull at the long interval.
    fn recent_pullers(&self, now: MonotonicTime) -> Vec<NodeId> {
        let memory = self.settings.cold_pull_interval + self.settings.pull_interval * 2;
        self.pullers.since(now - memory).collect()
    }

    /// Returns at most `count` random live members of the own group, without this node.
    pub(super) fn random_members(&self, rng: &mut impl Rng, count: usize) -> Vec<NodeId> {
        let Some(group) = self.own_group() else { return Vec::new() };
        let others =
            group.live().map(|record| record.node).filter(|node| *node != self.own_record.node);
        others.sample(rng, count)
    }

    /// Returns some live members of `service`, from its group if it is held, else from the seeds.
    pub(super) fn seeds_of(
        &self,
        now: MonotonicTime,
        rng: &mut impl Rng,
        service: &ServiceName,
    ) -> Vec<MemberUpdate> {
        match self.groups.get(service) {
            Some(group) => self.sample_group(rng, service, group, SEEDS_PER_ANSWER),
            None => self.seeds.of_service(now, service),
        }
    }

    /// Returns the number of times that an update of the own group is sent.
    pub(super) fn transmit_limit(&self) -> u32 {
        let members = self.own_group().map_or(1, GroupView::live_count) as u32;
        self.settings.retransmit_factor * (members + 1).next_power_of_two().ilog2().max(1)
    }

    /// Returns the record of the receiver if it is not alive in the own group, so that the receiver can refute it.
    fn record_to_refute(&self, now: MonotonicTime, to: NodeId) -> Option<MemberUpdate> {
        let group = self.own_group()?;
        let accused = group.get(to)?.state != MemberState::Alive;
        if accused { group.update(now, to) } else { None }
    }

    fn add_pending_updates(&mut self, now: MonotonicTime, to: NodeId, message: &mut GossipMessage) {
        let Some(group) = self.own_group() else { return };
        let news = self
            .updates
            .pending()
            .into_iter()
            .filter(|node| *node != to && *node != self.own_record.node);
        let news: Vec<_> =
            news.filter_map(|node| group.update(now, node)).take(MAX_PIGGYBACKED_UPDATES).collect();
        let nodes: Vec<_> = news.iter().map(|update| update.record.node).collect();
        let added = message.fill(news);
        let limit = self.transmit_limit();
        // Every ping carries the own record.
        for node in nodes.into_iter().take(added).chain([self.own_record.node]) {
            self.updates.note_sent(node, limit);
        }
    }

    /// Chooses entry points to send to a node of another group: random seeds, and a member of one held group.
    fn sample_seeds(&self, now: MonotonicTime, rng: &mut impl Rng) -> Vec<MemberUpdate> {
        let mut seeds = self.seeds.sample(now, rng, self.settings.seeds_per_ping);
        if let Some((service, group)) = self.groups.iter().choose(rng) {
            seeds.extend(self.sample_group(rng, service, group, 1));
        }
        seeds
    }

    /// Returns random alive members of a group, or none if this node is not a member of it and its last pull went
    /// unanswered.
    fn sample_group(
        &self,
        rng: &mut impl Rng,
        service: &ServiceName,
        group: &GroupView,
        count: usize,
    ) -> Vec<MemberUpdate> {
        let stale = self.watches.get(service).is_some_and(|watch| !watch.silent.is_empty());
        if stale && !self.is_member_of(service) {
            return Vec::new();
        }
        let alive = group.live().filter(|record| record.state == MemberState::Alive);
        alive.sample(rng, count).into_iter().cloned().map(MemberUpdate::new).collect()
    }
}
