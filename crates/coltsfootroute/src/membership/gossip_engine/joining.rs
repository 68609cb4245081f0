//! Joining of the other nodes, and contact with nodes outside the own group.

use std::time::Duration;

use rand::{Rng, RngExt, seq::IteratorRandom};

use super::{GossipEngine, pending_ping::PingPurpose};
use crate::{
    id::NodeId,
    membership::{GossipEffect, GroupView, SendPriority},
    time::MonotonicTime,
};

/// Maximum number of nodes pinged at the same time to join or to fetch their records.
const JOIN_FANOUT: usize = 12;
/// Maximum number of addresses kept from settings and introductions.
const MAX_CONTACTS: usize = 64;
/// One in this many pings outside the group, on average, goes to an address from the settings or an introduction.
const CONTACT_PING_PERIOD: u32 = 4;
/// Shortest time between two reports of the same peer with the same higher revision.
const AHEAD_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest time between two reports of peers with a different quarantine. While a new case spreads, many peers differ
/// for a moment.
const QUARANTINE_REPORT_INTERVAL: Duration = Duration::from_millis(200);

impl GossipEngine {
    /// Adds addresses of nodes from another source as contacts to ping.
    pub fn introduce(&mut self, now: MonotonicTime, nodes: impl IntoIterator<Item = NodeId>) {
        for node in nodes.into_iter().filter(|node| *node != self.own_record.node) {
            self.contacts.shift_remove(&node);
            if self.contacts.len() >= MAX_CONTACTS {
                self.contacts.shift_remove_index(0);
            }
            self.contacts.insert(node);
        }
        self.cross_ping_due = now;
    }

    /// Pings some of `nodes`, also if the node has already joined. Each acknowledgement carries the record of its
    /// sender.
    pub fn ping_nodes(
        &mut self,
        now: MonotonicTime,
        rng: &mut impl Rng,
        nodes: impl IntoIterator<Item = NodeId>,
    ) -> Vec<GossipEffect> {
        let own_node = self.own_record.node;
        let others = nodes.into_iter().filter(|node| *node != own_node);
        for node in others.sample(rng, JOIN_FANOUT) {
            self.ping(now, rng, node, PingPurpose::Join, SendPriority::High);
        }
        std::mem::take(&mut self.effects)
    }

    /// Pings several contacts at a time until a node has answered.
    pub(super) fn join(&mut self, now: MonotonicTime, rng: &mut impl Rng) {
        if self.joined || now < self.cross_ping_due {
            return;
        }
        self.cross_ping_due = now + self.settings.probe_interval;
        for contact in self.contacts.iter().copied().sample(rng, JOIN_FANOUT) {
            self.ping(now, rng, contact, PingPurpose::Join, SendPriority::High);
        }
    }

    /// Notes that another node has answered.
    pub(super) fn note_joined(&mut self) {
        if !self.joined {
            self.joined = true;
            self.effects.push(GossipEffect::Joined);
        }
    }

    /// Pings a random node, usually of another group, to exchange entry points and revisions.
    pub(super) fn ping_other_group(&mut self, now: MonotonicTime, rng: &mut impl Rng) {
        if now < self.cross_ping_due {
            return;
        }
        let Some(target) = self.cross_group_target(now, rng) else { return };
        if self.ping(now, rng, target, PingPurpose::CrossGroup, SendPriority::Low) {
            self.cross_ping_due = now + jittered(rng, self.settings.cross_group_interval);
        }
    }

    /// Reports a peer that has a higher revision in force.
    pub(super) fn note_revision(&mut self, now: MonotonicTime, peer: NodeId, revision: u64) {
        if revision <= self.revision {
            return;
        }
        let noted = self.last_ahead_report.is_some_and(|(noted_peer, noted, at)| {
            noted_peer == peer && noted >= revision && now.since(at) < AHEAD_REPORT_INTERVAL
        });
        if !noted {
            self.last_ahead_report = Some((peer, revision, now));
            self.effects.push(GossipEffect::RevisionBehind { peer, revision });
        }
    }

    /// Reports a peer that holds back other requests than this node. One of the two lacks a case, so each queries the
    /// other.
    pub(super) fn note_quarantine(&mut self, now: MonotonicTime, peer: NodeId, digest: u64) {
        if digest == self.quarantine || digest == 0 || now < self.quarantine_due {
            return;
        }
        self.quarantine_due = now + QUARANTINE_REPORT_INTERVAL;
        self.effects.push(GossipEffect::QuarantineDiffers { peer });
    }

    /// Chooses a random known node or contact, or `None` if there is none; also the fallback target of a pull.
    pub(super) fn cross_group_target(
        &self,
        now: MonotonicTime,
        rng: &mut impl Rng,
    ) -> Option<NodeId> {
        let seed = self.seeds.sample(now, rng, 1).pop().map(|update| update.record.node);
        let contact = self.contacts.iter().copied().choose(rng);
        let member = self.groups.values().flat_map(GroupView::live).choose(rng);
        let known = seed.or(member.map(|record| record.node));
        let from_contacts = rng.random_range(0..CONTACT_PING_PERIOD) == 0;
        let target = if from_contacts { contact.or(known) } else { known.or(contact) };
        target.filter(|node| *node != self.own_record.node)
    }
}

/// Returns `interval` changed by a random amount of up to a fifth in either direction.
pub(super) fn jittered(rng: &mut impl Rng, interval: Duration) -> Duration {
    interval.mul_f64(rng.random_range(0.8..1.2))
}
