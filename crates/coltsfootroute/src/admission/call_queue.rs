//! Queue of waiting calls, by importance.

use std::collections::BTreeSet;

use indexmap::IndexMap;

use super::{client_lane::ClientLane, queued_call::QueuedCall, waiting_call::RANKS};
use crate::time::MonotonicTime;

/// Waiting calls, served by rank (see [`WaitingCall`](super::WaitingCall)) and fairly between
/// clients.
///
/// Invariant: `lanes` and `expiries` hold exactly the calls of `calls`.
#[derive(Clone, Debug, Default)]
pub(super) struct CallQueue {
    calls: IndexMap<u64, QueuedCall>,
    lanes: [ClientLane; RANKS],
    expiries: BTreeSet<(MonotonicTime, u64)>,
}

impl CallQueue {
    /// Number of waiting calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Adds a call.
    pub fn push(&mut self, queued: QueuedCall) {
        let call = queued.call;
        self.lanes[call.rank()].push(call.client, call.id);
        self.expiries.insert((queued.expiry, call.id));
        self.calls.insert(call.id, queued);
    }

    /// Takes the call to serve next.
    pub fn pop(&mut self, newest: bool) -> Option<QueuedCall> {
        let lane = self.lanes.iter_mut().rev().find(|lane| !lane.is_empty())?;
        let id = lane.pop(newest)?;
        self.remove_entry(id)
    }

    /// Removes one call, if it waits here.
    pub fn remove(&mut self, id: u64) -> Option<QueuedCall> {
        let queued = self.remove_entry(id)?;
        self.lanes[queued.call.rank()].remove(queued.call.client, id);
        Some(queued)
    }

    /// The lowest rank that has a waiting call.
    pub fn lowest_rank(&self) -> Option<usize> {
        self.lanes.iter().position(|lane| !lane.is_empty())
    }

    /// The lane of `rank`.
    pub fn lane(&self, rank: usize) -> &ClientLane {
        &self.lanes[rank]
    }

    /// Takes the call of `rank` that is given up first.
    pub fn evict(&mut self, rank: usize, oldest: bool) -> Option<QueuedCall> {
        let id = self.lanes[rank].eviction_candidate(oldest)?;
        self.remove(id)
    }

    /// When the next waiting call expires.
    pub fn next_expiry(&self) -> Option<MonotonicTime> {
        self.expiries.first().map(|(expiry, _)| *expiry)
    }

    /// Takes a call that has expired by `now`.
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
