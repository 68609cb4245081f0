//! Waiting calls of one rank, shared out between clients.

use std::collections::VecDeque;

use indexmap::IndexMap;

/// The waiting calls of one rank, by client.
///
/// Invariants: `turns` names each client of `calls` exactly once; no client has an empty list; each
/// list is ordered oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct ClientLane {
    turns: VecDeque<u64>,
    calls: IndexMap<u64, VecDeque<u64>>,
}

impl ClientLane {
    /// Adds the newest call of `client`.
    pub fn push(&mut self, client: u64, id: u64) {
        let calls = self.calls.entry(client).or_default();
        if calls.is_empty() {
            self.turns.push_back(client);
        }
        calls.push_back(id);
    }

    /// Takes a call of the client whose turn it is; `newest` picks its newest instead of its oldest.
    pub fn pop(&mut self, newest: bool) -> Option<u64> {
        let client = self.turns.pop_front()?;
        let id = self.pop_from(client, newest)?;
        if self.calls.contains_key(&client) {
            self.turns.push_back(client);
        }
        Some(id)
    }

    /// Picks the call to give up: of the client with the most calls, its oldest or its newest.
    pub fn eviction_candidate(&self, oldest: bool) -> Option<u64> {
        let calls = self.calls.values().max_by_key(|calls| calls.len())?;
        if oldest { calls.front().copied() } else { calls.back().copied() }
    }

    /// The most calls that one client has waiting.
    pub fn max_calls_per_client(&self) -> usize {
        self.calls.values().map(VecDeque::len).max().unwrap_or(0)
    }

    /// Calls that `client` has waiting.
    pub fn count_of(&self, client: u64) -> usize {
        self.calls.get(&client).map_or(0, VecDeque::len)
    }

    /// Removes one call.
    pub fn remove(&mut self, client: u64, id: u64) {
        let Some(calls) = self.calls.get_mut(&client) else { return };
        calls.retain(|other| *other != id);
        if calls.is_empty() {
            self.calls.swap_remove(&client);
            self.turns.retain(|other| *other != client);
        }
    }

    /// Whether no call waits.
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
