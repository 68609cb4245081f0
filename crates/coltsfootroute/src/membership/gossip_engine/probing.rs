//! Failure detector of the own group.

use std::time::Duration;

use rand::{
    Rng,
    seq::{IteratorRandom, SliceRandom},
};

use super::{
    GossipEngine,
    pending_ping::{PendingPing, PingPurpose},
    probe_round::ProbeRound,
};
use crate::{
    id::NodeId,
    membership::{
        GossipEffect, GossipMessage, GossipPayload, GroupView, MemberState, MemberUpdate,
        SendPriority,
    },
    time::MonotonicTime,
};

/// Maximum of [`GossipEngine::health_score`].
const MAX_HEALTH_SCORE: u32 = 3;
/// Maximum number of pings that wait for an acknowledgement; further pings are not sent.
const MAX_PENDING_PINGS: usize = 256;

impl GossipEngine {
    /// Sends a ping and registers it for its acknowledgement. Returns false if the bandwidth budget does not allow it
    /// or too many pings are pending.
    pub(super) fn ping(
        &mut self,
        now: MonotonicTime,
        rng: &mut impl Rng,
        target: NodeId,
        purpose: PingPurpose,
        priority: SendPriority,
    ) -> bool {
        if self.pings.len() >= MAX_PENDING_PINGS {
            return false;
        }
        self.sequence += 1;
        let sequence = self.sequence;
        let message = self.message_to(now, rng, target, GossipPayload::Ping { sequence });
        if !self.send(now, priority, target, message) {
            return false;
        }
        let expires = now + self.settings.probe_interval;
        self.pings.insert(sequence, PendingPing { target, purpose, expires });
        true
    }

    /// Handles an acknowledgement of the ping `sequence`.
    pub(super) fn note_ack(&mut self, now: MonotonicTime, sequence: u64, target: NodeId) {
        let Some(ping) = self.pings.get(&sequence).copied() else { return };
        if ping.target != target {
            return;
        }
        self.pings.swap_remove(&sequence);
        self.note_joined();
        match ping.purpose {
            PingPurpose::Probe => self.end_probe(sequence),
            PingPurpose::Relay { requester, sequence } => {
                self.relay_ack(now, requester, sequence, target)
            }
            PingPurpose::Join | PingPurpose::CrossGroup | PingPurpose::DeadProbe => {}
        }
    }

    /// Removes pings that were not answered in time, and the seeds that did not answer.
    pub(super) fn expire_pings(&mut self, now: MonotonicTime) {
        let expired: Vec<_> = self
            .pings
            .iter()
            .filter(|(_, ping)| ping.expires <= now)
            .map(|(sequence, ping)| (*sequence, *ping))
            .collect();
        for (sequence, ping) in expired {
            self.pings.swap_remove(&sequence);
            if ping.purpose == PingPurpose::CrossGroup {
                self.seeds.remove(ping.target);
            }
        }
    }

    /// Advances the current probe, and starts the next one when it is due.
    pub(super) fn advance_probe(&mut self, now: MonotonicTime, rng: &mut impl Rng) {
        match self.round {
            Some(round) if now >= round.verdict_at => self.fail_probe(now, rng, round),
            Some(round) if now >= round.indirect_at && !round.indirect_sent => {
                self.send_indirect_probes(now, rng, round);
            }
            _ => {}
        }
        if now < self.probe_due || !self.is_member() || self.round.is_some() {
            return;
        }
        self.probe_due = now + self.settings.probe_interval;
        self.start_probe(now, rng);
    }

    /// Probes a random dead member at intervals, so that both sides of a healed partition find each other.
    pub(super) fn probe_dead(&mut self, now: MonotonicTime, rng: &mut impl Rng) {
        if now < self.dead_probe_due || !self.is_member() {
            return;
        }
        self.dead_probe_due = now + self.settings.dead_probe_interval;
        let dead = self.own_group().and_then(|group| {
            let dead = group.records().filter(|record| record.state == MemberState::Dead);
            dead.map(|record| record.node).choose(rng)
        });
        if let Some(target) = dead {
            self.ping(now, rng, target, PingPurpose::DeadProbe, SendPriority::Normal);
        }
    }

    /// Declares suspects dead that have not refuted the suspicion in time.
    pub(super) fn expire_suspicions(&mut self, now: MonotonicTime, rng: &mut impl Rng) {
        let due: Vec<_> = self
            .suspicions
            .iter()
            .filter(|(_, (_, deadline))| *deadline <= now)
            .map(|(node, (incarnation, _))| (*node, *incarnation))
            .collect();
        for (node, incarnation) in due {
            self.suspicions.swap_remove(&node);
            let suspect = self.own_group().and_then(|group| group.get(node));
            let dead = suspect
                .filter(|record| record.incarnation == incarnation)
                .map(|record| record.with_state(MemberState::Dead));
            if let Some(dead) = dead {
                self.merge_update(now, rng, MemberUpdate::new(dead), true);
            }
        }
    }

    /// Returns the time that a suspect has to refute the suspicion: longer in larger groups, and while this node's own
    /// probes fail.
    pub(super) fn suspicion_timeout(&self) -> Duration {
        let members = self.own_group().map_or(1, GroupView::live_count);
        let scale = (members as f64).log10().max(1.0);
        let timeout = self.settings.probe_interval * self.settings.suspicion_rounds;
        timeout.mul_f64(scale) * (1 + self.health_score)
    }

    /// Detects by a gap between ticks that this process was paused. Aborts the current probe, postpones suspicions,
    /// pulls all groups again, and raises the own incarnation if this node is a member.
    pub(super) fn detect_pause(&mut self, now: MonotonicTime, rng: &mut impl Rng) {
        let gap = now.since(self.last_tick);
        if gap < self.settings.pause_gap {
            return;
        }
        self.effects.push(GossipEffect::PauseDetected { gap });
        self.round = None;
        self.pings.clear();
        self.probe_due = now + self.settings.probe_interval;
        for (_, deadline) in self.suspicions.values_mut() {
            *deadline = *deadline + gap;
        }
        for watch in self.watches.values_mut() {
            watch.due = now;
            watch.pending = None;
            watch.silent.clear();
            watch.last_answer = now;
        }
        if self.is_member() {
            self.reincarnate(now, self.own_record.incarnation);
            self.push_eagerly(now, rng, self.own_record.node, self.settings.eager_fanout, false);
        }
    }

    fn start_probe(&mut self, now: MonotonicTime, rng: &mut impl Rng) {
        let Some(target) = self.next_target(rng) else { return };
        if !self.ping(now, rng, target, PingPurpose::Probe, SendPriority::High) {
            return;
        }
        self.round = Some(ProbeRound {
            target,
            sequence: self.sequence,
            indirect_at: now + self.settings.ack_timeout,
            indirect_sent: false,
            verdict_at: now + self.settings.probe_interval,
        });
    }

    /// Returns the next live member in a shuffled round over the group, or `None` if no other member is live.
    fn next_target(&mut self, rng: &mut impl Rng) -> Option<NodeId> {
        if self.probe_order.is_empty() {
            let own_node = self.own_record.node;
            let group = self.own_group()?;
            let mut order: Vec<_> =
                group.live().map(|record| record.node).filter(|node| *node != own_node).collect();
            order.shuffle(rng);
            self.probe_order = order;
        }
        while let Some(target) = self.probe_order.pop() {
            let record = self.own_group().and_then(|group| group.get(target));
            if record.is_some_and(|record| record.state.is_live()) {
                return Some(target);
            }
        }
        None
    }

    fn send_indirect_probes(&mut self, now: MonotonicTime, rng: &mut impl Rng, round: ProbeRound) {
        let count = self.settings.indirect_probes + 1;
        let helpers =
            self.random_members(rng, count).into_iter().filter(|node| *node != round.target);
        let helpers: Vec<_> = helpers.take(self.settings.indirect_probes).collect();
        for helper in helpers {
            let payload =
                GossipPayload::PingRequest { sequence: round.sequence, target: round.target };
            let message = GossipMessage::new(self.revision, payload);
            self.send(now, SendPriority::Normal, helper, message);
        }
        self.round = Some(ProbeRound { indirect_sent: true, ..round });
    }

    fn fail_probe(&mut self, now: MonotonicTime, rng: &mut impl Rng, round: ProbeRound) {
        self.round = None;
        self.health_score = MAX_HEALTH_SCORE.min(self.health_score + 1);
        let record = self.own_group().and_then(|group| group.get(round.target));
        let suspect = record.map(|record| record.with_state(MemberState::Suspect));
        if let Some(suspect) = suspect {
            self.merge_update(now, rng, MemberUpdate::new(suspect), true);
        }
    }

    fn end_probe(&mut self, sequence: u64) {
        self.health_score = self.health_score.saturating_sub(1);
        if self.round.is_some_and(|round| round.sequence == sequence) {
            self.round = None;
        }
    }

    fn relay_ack(&mut self, now: MonotonicTime, requester: NodeId, sequence: u64, target: NodeId) {
        let message = GossipMessage::new(self.revision, GossipPayload::Ack { sequence, target });
        self.send(now, SendPriority::High, requester, message);
    }
}
