//! Fair queue of the waiting calls of one rank.

use std::collections::VecDeque;

use indexmap::IndexMap;

/// Waiting calls of one rank, by client; clients are served in turn.
///
/// Invariants: `turns` contains each client of `calls` exactly once; no client has an empty list; each
/// list is ordered oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct ClientLane {
    turns: VecDeque<u64>,
    calls: IndexMap<u64, VecDeque<u64>>,
}

impl ClientLane {
    /// Adds a call of `client` as its newest.
    pub fn push(&mut self, client: u64, id: u64) {
        let calls = self.calls.entry(client).or_default();
        if calls.is_empty() {
            self.turns.push_back(client);
        }
        calls.push_back(id);
    }

    /// Removes and returns the oldest call of the next client in turn, or its newest if `newest` is set.
    /// `None` if no call waits.
    pub fn pop(&mut self, newest: bool) -> Option<u64> {
        let client = self.turns.pop_front()?;
        let id = self.pop_from(client, newest)?;
        if self.calls.contains_key(&client) {
            self.turns.push_back(client);
        }
        Some(id)
    }

    /// Returns the call to evict: the oldest or the newest call of the client with the most waiting calls.
    /// `None` if no call waits.
    pub fn eviction_candidate(&self, oldest: bool) -> Option<u64> {
        let calls = self.calls.values().max_by_key(|calls| calls.len())?;
        if oldest { calls.front().copied() } else { calls.back().copied() }
    }

    /// Returns the largest number of waiting calls of any client.
    pub fn max_calls_per_client(&self) -> usize {
        self.calls.values().map(VecDeque::len).max().unwrap_or(0)
    }

    /// Returns the number of waiting calls of `client`.
    pub fn count_of(&self, client: u64) -> usize {
        self.calls.get(&client).map_or(0, VecDeque::len)
    }

    /// Removes the call `id` of `client`, if it waits.
    pub fn remove(&mut self, client: u64, id: u64) {
        let Some(calls) = self.calls.get_mut(&client) else { return };
        calls.retain(|other| *other != id);
        if calls.is_empty() {
            self.calls.swap_remove(&client);
            self.turns.retain(|other| *other != client);
        }
    }

    /// Returns whether no call is waiting.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    fn pop_from(&mut self, client: u64, newest: bool) -> Option<u64> {
        let calls = self.calls.get_mut(&client)?;
        let id = if newest { calls.pop_back() } else { calls.pop_front() };
        if calls.is_empty() {
            self.calls.swap_remove(&client);
        }
        id
    }
}
