//! Priority queue of waiting calls.

use std::collections::BTreeSet;

use indexmap::IndexMap;

use super::{client_lane::ClientLane, queued_call::QueuedCall, waiting_call::RANKS};
use crate::time::MonotonicTime;

/// Waiting calls, served by rank (see [`WaitingCall`](super::WaitingCall)) and fairly between
/// clients.
///
/// Invariant: `lanes` and `expiries` contain exactly the calls in `calls`.
#[derive(Clone, Debug, Default)]
pub(super) struct CallQueue {
    calls: IndexMap<u64, QueuedCall>,
    lanes: [ClientLane; RANKS],
    expiries: BTreeSet<(MonotonicTime, u64)>,
}

impl CallQueue {
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
        self.lanes[call.rank()].push(call.client, call.id);
        self.expiries.insert((queued.expiry, call.id));
        self.calls.insert(call.id, queued);
    }

    /// Removes and returns the call to serve next: of the highest rank, the newest or the oldest call of
    /// the next client in turn. `None` if the queue is empty.
    pub fn pop(&mut self, newest: bool) -> Option<QueuedCall> {
        let lane = self.lanes.iter_mut().rev().find(|lane| !lane.is_empty())?;
        let id = lane.pop(newest)?;
        self.remove_entry(id)
    }

    /// Removes and returns the call `id`; `None` if it is not in the queue.
    pub fn remove(&mut self, id: u64) -> Option<QueuedCall> {
        let queued = self.remove_entry(id)?;
        self.lanes[queued.call.rank()].remove(queued.call.client, id);
        Some(queued)
    }

    /// Returns the lowest rank that has a waiting call; `None` if the queue is empty.
    pub fn lowest_rank(&self) -> Option<usize> {
        self.lanes.iter().position(|lane| !lane.is_empty())
    }

    /// Returns the waiting calls of `rank`.
    pub fn lane(&self, rank: usize) -> &ClientLane {
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
