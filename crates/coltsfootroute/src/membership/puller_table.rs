//! Nodes that recently pulled the own group.

use indexmap::IndexMap;

use crate::{id::NodeId, time::MonotonicTime};

/// Watchers that are notified of leaves immediately. A full table evicts the one whose last pull is the oldest.
#[derive(Clone, Debug)]
pub struct PullerTable {
    /// Invariant: ordered by the time of the last pull, at most `limit` entries.
    pullers: IndexMap<NodeId, MonotonicTime>,
    limit: usize,
}

impl PullerTable {
    /// Creates an empty table of at most `limit` nodes.
    pub fn new(limit: usize) -> Self {
        Self { pullers: IndexMap::new(), limit }
    }

    /// Notes a pull by `node`.
    pub fn note(&mut self, now: MonotonicTime, node: NodeId) {
        self.pullers.shift_remove(&node);
        if self.pullers.len() >= self.limit {
            self.pullers.shift_remove_index(0);
        }
        self.pullers.insert(node, now);
    }

    /// Returns the nodes that pulled at `since` or later, the oldest pull first.
    pub fn since(&self, since: MonotonicTime) -> impl Iterator<Item = NodeId> {
        self.pullers.iter().filter(move |(_, at)| **at >= since).map(|(node, _)| *node)
    }
}
