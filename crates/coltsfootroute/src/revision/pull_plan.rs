//! Which peers are asked for a revision that they have told of.

use std::time::Duration;

use super::Revision;
use crate::{id::NodeId, time::MonotonicTime};
use indexmap::IndexMap;

/// Peers asked at once.
const MAX_CONCURRENT_PULLS: usize = 3;
/// Peers remembered that have told of a higher revision.
const MAX_CANDIDATES: usize = 16;
/// A peer that has not answered for so long is not waited for alone: peers of one region answer within some milliseconds.
const HEDGE_DELAY: Duration = Duration::from_millis(200);

/// Which peers are asked for a revision that they have told of: one at first, and another each time that those asked have
/// not answered for a while.
///
/// Invariant: a peer is asked once at a time.
#[derive(Clone, Debug, Default)]
pub struct PullPlan {
    /// Peers not asked since, with the highest revision that each has told of.
    candidates: IndexMap<NodeId, Revision>,
    /// Peers asked, and when, the first one first.
    in_flight: IndexMap<NodeId, MonotonicTime>,
}

impl PullPlan {
    /// Nobody has told of anything.
    pub fn new() -> Self {
        Self::default()
    }

    /// `peer` has told that it has `revision` in force.
    pub fn record_revision(&mut self, peer: NodeId, revision: Revision) {
        if self.candidates.len() >= MAX_CANDIDATES && !self.candidates.contains_key(&peer) {
            self.candidates.shift_remove_index(0);
        }
        self.candidates.insert(peer, revision);
    }

    /// The peer to ask now, where `held` is held; it counts as asked.
    pub fn next_peer(&mut self, now: MonotonicTime, held: Revision) -> Option<NodeId> {
        self.candidates.retain(|_, revision| *revision > held);
        if self.in_flight.len() >= MAX_CONCURRENT_PULLS
            || self.hedge_at().is_some_and(|hedge_at| now < hedge_at)
        {
            return None;
        }
        let idle = self.candidates.iter().filter(|(peer, _)| !self.in_flight.contains_key(*peer));
        let peer = idle.max_by_key(|(_, revision)| **revision).map(|(peer, _)| *peer)?;
        self.candidates.shift_remove(&peer);
        self.in_flight.insert(peer, now);
        Some(peer)
    }

    /// `peer` is asked in any case; `false` if it is being asked already.
    pub fn record_request(&mut self, now: MonotonicTime, peer: NodeId) -> bool {
        let is_new = !self.in_flight.contains_key(&peer);
        if is_new {
            self.in_flight.insert(peer, now);
        }
        is_new
    }

    /// `peer` has answered, or will not.
    pub fn record_completion(&mut self, peer: NodeId) {
        self.in_flight.shift_remove(&peer);
    }

    /// When the next peer is due though those asked have not answered; `None` while nobody is asked or nobody else is
    /// known.
    pub fn next_hedge_at(&self) -> Option<MonotonicTime> {
        let has_idle_candidate =
            self.candidates.keys().any(|peer| !self.in_flight.contains_key(peer));
        self.hedge_at()
            .filter(|_| has_idle_candidate && self.in_flight.len() < MAX_CONCURRENT_PULLS)
    }

    fn hedge_at(&self) -> Option<MonotonicTime> {
        self.in_flight.values().max().map(|sent_at| *sent_at + HEDGE_DELAY)
    }
}
