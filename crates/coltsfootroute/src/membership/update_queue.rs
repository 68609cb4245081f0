//! News of the own group that still has to spread.

use indexmap::IndexMap;

use crate::id::NodeId;

/// Members whose record changed, each with the number of times that it was passed on. Only the node is
/// kept; the record is looked up when it is sent, so that the latest goes out.
#[derive(Clone, Debug, Default)]
pub struct UpdateQueue {
    sent: IndexMap<NodeId, u32>,
}

impl UpdateQueue {
    /// An empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Queues news of `node`, counted from the start.
    pub fn push(&mut self, node: NodeId) {
        self.sent.insert(node, 0);
    }

    /// The news least often passed on first.
    pub fn pending(&self) -> Vec<NodeId> {
        let mut nodes: Vec<_> = self.sent.iter().collect();
        nodes.sort_by_key(|(_, sent)| **sent);
        nodes.into_iter().map(|(node, _)| *node).collect()
    }

    /// Notes that news of `node` was passed on; forgets it after `limit` times.
    pub fn note_sent(&mut self, node: NodeId, limit: u32) {
        let Some(sent) = self.sent.get_mut(&node) else { return };
        *sent += 1;
        if *sent >= limit {
            self.sent.swap_remove(&node);
        }
    }

    /// Whether nothing has to spread.
    pub fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }
}
