//! Merging of records received from other nodes.

use rand::Rng;

use super::GossipEngine;
use crate::{
    id::{Incarnation, NodeId},
    membership::{
        GossipEffect, GossipMessage, GossipPayload, MemberRecord, MemberState, MemberUpdate,
        MergeOutcome, SendPriority,
    },
    name::ServiceName,
    time::MonotonicTime,
};

impl GossipEngine {
    /// Merges all records of a message, and sends corrections for stale ones to the sender.
    pub(super) fn merge_updates(
        &mut self,
        now: MonotonicTime,
        rng: &mut impl Rng,
        from: NodeId,
        message: &GossipMessage,
    ) {
        let from_group = matches!(message.payload, GossipPayload::Records { .. });
        let sends_corrections = from_group || message.payload == GossipPayload::Push;
        let mut corrections = Vec::new();
        for update in &message.updates {
            let is_own = update.record.node == from;
            let was_member = self.is_live_member(from);
            let stale = self.merge_update(now, rng, update.clone(), is_own || from_group);
            if is_own && !was_member && self.is_live_member(from) {
                self.push_to_watchers(now, from);
            }
            if stale && (sends_corrections || update.record.node == from) {
                corrections.extend(self.known_update(now, &update.record));
            }
        }
        self.send_corrections(now, from, corrections);
    }

    /// Whether `node` is a live member of the own group.
    fn is_live_member(&self, node: NodeId) -> bool {
        let record = self.own_group().and_then(|group| group.get(node));
        record.is_some_and(|record| record.state.is_live())
    }

    /// Merges one record, which is `authoritative` if it comes from its subject or from a member of its group. Returns
    /// whether a newer one is known here.
    pub(super) fn merge_update(
        &mut self,
        now: MonotonicTime,
        rng: &mut impl Rng,
        update: MemberUpdate,
        authoritative: bool,
    ) -> bool {
        if update.record.node == self.own_record.node {
            self.refute_if_contradicted(now, &update.record);
            return false;
        }
        self.end_earlier_membership(now, rng, &update.record);
        let Some(service) = update.record.service.clone() else { return false };
        let Some(group) = self.groups.get_mut(&service) else {
            self.seeds.offer(now, rng, update);
            return false;
        };
        let record = update.record.clone();
        match group.merge(now, update, authoritative) {
            MergeOutcome::Changed(before) => {
                self.note_change(now, rng, &service, before, &record);
                false
            }
            MergeOutcome::Stale => true,
            MergeOutcome::Same | MergeOutcome::Full => false,
        }
    }

    /// Sends `to` records that it lacks or of which it has an older version.
    pub(super) fn send_corrections(
        &mut self,
        now: MonotonicTime,
        to: NodeId,
        updates: Vec<MemberUpdate>,
    ) {
        if updates.is_empty() {
            return;
        }
        let mut message = GossipMessage::new(self.revision, GossipPayload::Push);
        message.fill(updates);
        self.send(now, SendPriority::Normal, to, message);
    }

    /// Raises the own incarnation above `incarnation` and publishes the own record.
    pub(super) fn reincarnate(&mut self, now: MonotonicTime, incarnation: Incarnation) {
        self.own_record.incarnation = self.own_record.incarnation.max(incarnation).next();
        self.effects.push(GossipEffect::Reincarnated { incarnation: self.own_record.incarnation });
        self.publish_self(now);
    }

    /// Merges the own record into the own group and queues it for spreading.
    pub(super) fn publish_self(&mut self, now: MonotonicTime) {
        let Some(service) = self.own_record.service.clone() else { return };
        let Some(group) = self.groups.get_mut(&service) else { return };
        group.merge(now, MemberUpdate::new(self.own_record.clone()), true);
        self.updates.push(self.own_record.node);
        self.effects.push(GossipEffect::Changed { service });
    }

    /// Raises the own incarnation if a received record of this node supersedes or contradicts the own record.
    fn refute_if_contradicted(&mut self, now: MonotonicTime, received: &MemberRecord) {
        let same_incarnation = received.incarnation == self.own_record.incarnation;
        let same_content =
            received.service == self.own_record.service && received.state <= self.own_record.state;
        let agrees = received.incarnation < self.own_record.incarnation
            || (same_incarnation && same_content);
        if !agrees {
            self.reincarnate(now, received.incarnation);
        }
    }

    /// Marks a node as departed from a group if a later incarnation of it is in another group, or in none.
    fn end_earlier_membership(
        &mut self,
        now: MonotonicTime,
        rng: &mut impl Rng,
        record: &MemberRecord,
    ) {
        let mut ended = Vec::new();
        for (service, group) in &self.groups {
            let Some(known) = group.get(record.node) else { continue };
            let elsewhere = record.service.as_ref() != Some(service);
            if elsewhere && known.state.is_live() && known.incarnation < record.incarnation {
                ended.push((service.clone(), known.with_state(MemberState::Left)));
            }
        }
        for (service, left) in ended {
            let before = self.groups[&service].get(left.node).map(|known| known.state);
            self.groups[&service].merge(now, MemberUpdate::new(left.clone()), true);
            self.note_change(now, rng, &service, before, &left);
        }
    }

    /// Returns the update known here about the member of `record`, or `None` if the group or the member is unknown.
    fn known_update(&self, now: MonotonicTime, record: &MemberRecord) -> Option<MemberUpdate> {
        let service = record.service.as_ref()?;
        self.groups.get(service)?.update(now, record.node)
    }

    /// Reports a change of a member, and in the own group also queues it for spreading and sets the suspicion timer.
    fn note_change(
        &mut self,
        now: MonotonicTime,
        rng: &mut impl Rng,
        service: &ServiceName,
        before: Option<MemberState>,
        record: &MemberRecord,
    ) {
        self.effects.push(GossipEffect::Changed { service: service.clone() });
        self.effects.extend(change_event(service, before, record));
        if self.own_record.service.as_ref() != Some(service) {
            return;
        }
        if before.is_none() && !record.state.is_live() {
            // A tombstone that this node lacked is already known to the rest of the group.
            return;
        }
        self.updates.push(record.node);
        self.time_suspicion(now, record);
        let left_now =
            record.state == MemberState::Left && before.is_some_and(MemberState::is_live);
        if left_now {
            self.push_eagerly(now, rng, record.node, self.settings.eager_fanout, true);
        }
        self.sync_with_first(now, record);
    }

    /// Starts monitoring the own group: shows hidden members so that they are probed, and starts the timers of existing
    /// suspicions.
    pub(super) fn resume_monitoring(&mut self, now: MonotonicTime) {
        let service = self.own_record.service.as_ref();
        let Some(group) = service.and_then(|service| self.groups.get_mut(service)) else { return };
        group.unhide_all(now);
        let suspects = group.live().filter(|record| record.state == MemberState::Suspect);
        for suspect in suspects.cloned().collect::<Vec<_>>() {
            self.time_suspicion(now, &suspect);
        }
    }

    fn time_suspicion(&mut self, now: MonotonicTime, record: &MemberRecord) {
        if record.state == MemberState::Suspect {
            let deadline = now + self.suspicion_timeout();
            self.suspicions.insert(record.node, (record.incarnation, deadline));
        } else {
            self.suspicions.swap_remove(&record.node);
        }
    }

    /// Schedules an immediate comparison of records when the first other member of the group is found.
    fn sync_with_first(&mut self, now: MonotonicTime, record: &MemberRecord) {
        let found_first = self.own_group().is_some_and(|group| group.live_count() == 2);
        if !found_first || !record.state.is_live() {
            return;
        }
        let service = self.own_record.service.as_ref();
        if let Some(watch) = service.and_then(|service| self.watches.get_mut(service)) {
            watch.due = now;
        }
    }
}

fn change_event(
    service: &ServiceName,
    before: Option<MemberState>,
    record: &MemberRecord,
) -> Option<GossipEffect> {
    let was_alive = before == Some(MemberState::Alive);
    let was_live = before.is_some_and(MemberState::is_live);
    let (service, node) = (service.clone(), record.node);
    match record.state {
        MemberState::Alive if !was_alive => {
            Some(GossipEffect::MemberUp { service, node, incarnation: record.incarnation })
        }
        MemberState::Left if was_live => Some(GossipEffect::MemberLeft { service, node }),
        state @ (MemberState::Suspect | MemberState::Dead) if was_live => {
            Some(GossipEffect::MemberDown { service, node, state })
        }
        _ => None,
    }
}
