//! Selection of the peers from which a node pulls a newer revision.

use std::time::Duration;

use super::Revision;
use crate::{id::NodeId, time::MonotonicTime};
use indexmap::IndexMap;

/// Maximum number of pulls in flight.
const MAX_CONCURRENT_PULLS: usize = 3;
/// Maximum number of candidate peers, which have reported a revision and wait to be queried.
const MAX_CANDIDATES: usize = 16;
/// Time without a response after which a further peer is queried. Peers of one region respond within some
/// milliseconds.
const HEDGE_DELAY: Duration = Duration::from_millis(200);

/// Selects the peers from which a node pulls a revision that they have reported: first one peer, then a further one
/// whenever `HEDGE_DELAY` has passed since the last request without a response.
///
/// Invariant: at most one pull per peer is in flight.
#[derive(Clone, Debug, Default)]
pub struct PullPlan {
    /// Peers not queried since their last report, with the revision that each reported last.
    candidates: IndexMap<NodeId, Revision>,
    /// Peers with a pull in flight and the time of the request, in order of request.
    in_flight: IndexMap<NodeId, MonotonicTime>,
}

impl PullPlan {
    /// Creates a plan without candidates.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a report of `peer` that it has `revision` in force. Beyond the limit of candidates, the oldest one is
    /// dropped.
    pub fn record_revision(&mut self, peer: NodeId, revision: Revision) {
        if self.candidates.len() >= MAX_CANDIDATES && !self.candidates.contains_key(&peer) {
            self.candidates.shift_remove_index(0);
        }
        self.candidates.insert(peer, revision);
    }

    /// Returns the peer to query now, given that revision `held` is held, and records the request. Returns `None` if
    /// no further peer is to be queried yet.
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

    /// Records a request that is sent to `peer` regardless of the plan. Returns `false` if a pull from it is already in
    /// flight.
    pub fn record_request(&mut self, now: MonotonicTime, peer: NodeId) -> bool {
        let is_new = !self.in_flight.contains_key(&peer);
        if is_new {
            self.in_flight.insert(peer, now);
        }
        is_new
    }

    /// Records that the pull from `peer` has completed or failed.
    pub fn record_completion(&mut self, peer: NodeId) {
        self.in_flight.shift_remove(&peer);
    }

    /// Returns the time at which a further peer is to be queried if no response arrives. Returns `None` while no pull
    /// is in flight, the maximum number of pulls is in flight or there is no other candidate.
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
