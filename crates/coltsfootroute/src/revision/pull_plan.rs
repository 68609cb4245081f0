//! Which peers are asked for a revision that they have told of.

use std::time::Duration;

use super::Revision;
use crate::{id::NodeId, time::MonotonicTime};
use indexmap::IndexMap;

/// Peers asked at once.
const MOST_AT_ONCE: usize = 3;
/// Peers remembered that have told of a higher revision.
const MOST_KNOWN: usize = 16;
/// A peer that has not answered for so long is not waited for alone: peers of one region answer within some milliseconds.
const HEDGE_DELAY: Duration = Duration::from_millis(200);

/// Which peers are asked for a revision that they have told of: one at first, and another each time that those asked have
/// not answered for a while.
///
/// Invariant: a peer is asked once at a time.
#[derive(Clone, Debug, Default)]
pub struct PullPlan {
    /// Peers not asked since, with the highest revision that each has told of.
    known: IndexMap<NodeId, Revision>,
    /// Peers asked, and when, the first one first.
    asked: IndexMap<NodeId, MonotonicTime>,
}

impl PullPlan {
    /// Nobody has told of anything.
    pub fn new() -> Self {
        Self::default()
    }

    /// `peer` has told that it has `revision` in force.
    pub fn hear(&mut self, peer: NodeId, revision: Revision) {
        if self.known.len() >= MOST_KNOWN && !self.known.contains_key(&peer) {
            self.known.shift_remove_index(0);
        }
        self.known.insert(peer, revision);
    }

    /// The peer to ask now, where `held` is held; it counts as asked.
    pub fn take_next(&mut self, now: MonotonicTime, held: Revision) -> Option<NodeId> {
        self.known.retain(|_, revision| *revision > held);
        if self.asked.len() >= MOST_AT_ONCE || self.hedge_due().is_some_and(|due| now < due) {
            return None;
        }
        let free = self.known.iter().filter(|(peer, _)| !self.asked.contains_key(*peer));
        let peer = free.max_by_key(|(_, revision)| **revision).map(|(peer, _)| *peer)?;
        self.known.shift_remove(&peer);
        self.asked.insert(peer, now);
        Some(peer)
    }

    /// `peer` is asked in any case; `false` if it is being asked already.
    pub fn note_asked(&mut self, now: MonotonicTime, peer: NodeId) -> bool {
        let is_new = !self.asked.contains_key(&peer);
        if is_new {
            self.asked.insert(peer, now);
        }
        is_new
    }

    /// `peer` has answered, or will not.
    pub fn note_ended(&mut self, peer: NodeId) {
        self.asked.shift_remove(&peer);
    }

    /// When the next peer is due though those asked have not answered; `None` while nobody is asked or nobody else is
    /// known.
    pub fn next_due(&self) -> Option<MonotonicTime> {
        let is_free = self.known.keys().any(|peer| !self.asked.contains_key(peer));
        self.hedge_due().filter(|_| is_free && self.asked.len() < MOST_AT_ONCE)
    }

    fn hedge_due(&self) -> Option<MonotonicTime> {
        self.asked.values().max().map(|asked| *asked + HEDGE_DELAY)
    }
}
