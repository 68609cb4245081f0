//! Condition under which a started node may accept work.

use super::Revision;
use crate::id::NodeId;
use indexmap::IndexSet;

/// Prevents a node from accepting work after its start until its revision is at least the highest that the table
/// service or a peer has reported, so that a restart never puts an earlier revision in force.
///
/// A response from the table service suffices, since its head is the newest revision. Without one, every queried peer
/// must have responded or be considered failed, and at least one must have responded.
///
/// Invariant: once open, the gate stays open.
#[derive(Clone, Debug, Default)]
pub struct StartGate {
    /// Highest revision reported.
    required: Revision,
    /// Queried peers that haven't responded yet.
    awaited: IndexSet<NodeId>,
    has_store_response: bool,
    has_peer_response: bool,
    is_open: bool,
}

impl StartGate {
    /// Creates a closed gate.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that `peer` was queried for its revision.
    pub fn await_peer(&mut self, peer: NodeId) {
        self.awaited.insert(peer);
    }

    /// Records the revision that `peer` reported, whether or not it was queried.
    pub fn record_peer_revision(&mut self, peer: NodeId, revision: Revision) {
        self.awaited.swap_remove(&peer);
        self.has_peer_response = true;
        self.required = self.required.max(revision);
    }

    /// Stops waiting for `peer`, which timed out or can't be reached.
    pub fn stop_awaiting(&mut self, peer: NodeId) {
        self.awaited.swap_remove(&peer);
    }

    /// Records the newest revision that the table service reported.
    pub fn record_store_revision(&mut self, revision: Revision) {
        self.has_store_response = true;
        self.required = self.required.max(revision);
    }

    /// Returns the highest revision reported. The node should hold it before it accepts work.
    pub fn required(&self) -> Revision {
        self.required
    }

    /// Returns whether a node that holds revision `held` may accept work. The gate opens permanently the first time
    /// that it may.
    pub fn try_open(&mut self, held: Revision) -> bool {
        let is_required_known =
            self.has_store_response || (self.has_peer_response && self.awaited.is_empty());
        self.is_open |= is_required_known && held > Revision::ZERO && held >= self.required;
        self.is_open
    }
}
