//! Queue of the waiting calls of one rank, ordered by the age of their client requests.

use std::collections::BTreeSet;

use crate::time::MonotonicTime;

/// Waiting calls of one rank, ordered by the time at which their client requests entered.
#[derive(Clone, Debug, Default)]
pub(super) struct AgeLane {
    calls: BTreeSet<(MonotonicTime, u64)>,
}

impl AgeLane {
    /// Adds a call whose client request entered at `entered`.
    pub fn push(&mut self, entered: MonotonicTime, id: u64) {
        self.calls.insert((entered, id));
    }

    /// Removes and returns the call of the oldest request. `None` if no call waits.
    pub fn pop(&mut self) -> Option<u64> {
        self.calls.pop_first().map(|(_, id)| id)
    }

    /// Returns the call of the youngest request. `None` if no call waits.
    pub fn youngest(&self) -> Option<u64> {
        self.calls.last().map(|(_, id)| *id)
    }

    /// Returns the time at which the youngest request entered. `None` if no call waits.
    pub fn latest_entry(&self) -> Option<MonotonicTime> {
        self.calls.last().map(|(entered, _)| *entered)
    }

    /// Removes the call `id`, if it waits.
    pub fn remove(&mut self, entered: MonotonicTime, id: u64) {
        self.calls.remove(&(entered, id));
    }

    /// Returns whether no call is waiting.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}
