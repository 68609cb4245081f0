//! Updates of the own group that still have to be spread.

use indexmap::IndexMap;

use crate::id::NodeId;

/// Members whose record changed, each with the number of times that the update was sent. Only the node is stored; the
/// record is looked up at the time of sending, so that the latest one is sent.
#[derive(Clone, Debug, Default)]
pub struct UpdateQueue {
    sent: IndexMap<NodeId, u32>,
}

impl UpdateQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Queues an update of `node` and resets its send count.
    pub fn push(&mut self, node: NodeId) {
        self.sent.insert(node, 0);
    }

    /// Returns the queued nodes, those sent least often first.
    pub fn pending(&self) -> Vec<NodeId> {
        let mut nodes: Vec<_> = self.sent.iter().collect();
        nodes.sort_by_key(|(_, sent)| **sent);
        nodes.into_iter().map(|(node, _)| *node).collect()
    }

    /// Counts one send of an update of `node`, and removes it from the queue after `limit` sends.
    pub fn note_sent(&mut self, node: NodeId, limit: u32) {
        let Some(sent) = self.sent.get_mut(&node) else { return };
        *sent += 1;
        if *sent >= limit {
            self.sent.swap_remove(&node);
        }
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }
}
