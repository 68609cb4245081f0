//! Priority queue of waiting calls.

use std::collections::BTreeSet;

use indexmap::IndexMap;

use super::{LaneOrder, queued_call::QueuedCall, rank_lane::RankLane, waiting_call::RANKS};
use crate::time::MonotonicTime;

/// Waiting calls, served by rank (see [`WaitingCall`](super::WaitingCall)) and in the order of its lane within a rank.
///
/// Invariant: `lanes` and `expiries` contain exactly the calls in `calls`.
#[derive(Clone, Debug)]
pub(super) struct CallQueue {
    calls: IndexMap<u64, QueuedCall>,
    lanes: [RankLane; RANKS],
    expiries: BTreeSet<(MonotonicTime, u64)>,
}

impl CallQueue {
    /// Creates an empty queue.
    pub fn new(order: LaneOrder) -> Self {
        Self {
            calls: IndexMap::new(),
            lanes: std::array::from_fn(|_| RankLane::new(order)),
            expiries: BTreeSet::new(),
        }
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether no call is waiting.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Adds a call to the queue.
    pub fn push(&mut self, queued: QueuedCall) {
        let call = queued.call;
        self.lanes[call.rank()].push(&call);
        self.expiries.insert((queued.expiry, call.id));
        self.calls.insert(call.id, queued);
    }

    /// Removes and returns the call to serve next: of the highest rank, the next one in the order of its
    /// lane. `None` if the queue is empty.
    pub fn pop(&mut self, newest: bool) -> Option<QueuedCall> {
        let lane = self.lanes.iter_mut().rev().find(|lane| !lane.is_empty())?;
        let id = lane.pop(newest)?;
        self.remove_entry(id)
    }

    /// Removes and returns the call `id`; `None` if it is not in the queue.
    pub fn remove(&mut self, id: u64) -> Option<QueuedCall> {
        let queued = self.remove_entry(id)?;
        self.lanes[queued.call.rank()].remove(&queued.call);
        Some(queued)
    }

    /// Returns the lowest rank that has a waiting call; `None` if the queue is empty.
    pub fn lowest_rank(&self) -> Option<usize> {
        self.lanes.iter().position(|lane| !lane.is_empty())
    }

    /// Returns the waiting calls of `rank`.
    pub fn lane(&self, rank: usize) -> &RankLane {
        &self.lanes[rank]
    }

    /// Removes and returns the call of `rank` to evict first; `None` if the rank has no waiting call.
    pub fn evict(&mut self, rank: usize, oldest: bool) -> Option<QueuedCall> {
        let id = self.lanes[rank].eviction_candidate(oldest)?;
        self.remove(id)
    }

    /// Returns the earliest expiry of a waiting call; `None` if the queue is empty.
    pub fn next_expiry(&self) -> Option<MonotonicTime> {
        self.expiries.first().map(|(expiry, _)| *expiry)
    }

    /// Removes and returns one call that has expired by `now`; `None` if there is none.
    pub fn pop_expired(&mut self, now: MonotonicTime) -> Option<QueuedCall> {
        let (expiry, id) = *self.expiries.first()?;
        if expiry > now {
            return None;
        }
        self.remove(id)
    }

    fn remove_entry(&mut self, id: u64) -> Option<QueuedCall> {
        let queued = self.calls.swap_remove(&id)?;
        self.expiries.remove(&(queued.expiry, id));
        Some(queued)
    }
}
