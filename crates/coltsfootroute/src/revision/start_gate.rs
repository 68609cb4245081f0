//! When a started node may take work.

use super::Revision;
use crate::id::NodeId;
use indexmap::IndexSet;

/// Holds a node back after its start until its configuration is not lower than any that the table service
/// or a peer has told it of, so that a restart never puts an earlier revision in force.
///
/// The table service alone suffices: its head is the newest. Without it, every peer that was asked must
/// have answered or be given up, and at least one must have answered.
///
/// Invariant: once open it stays open.
#[derive(Clone, Debug, Default)]
pub struct StartGate {
    /// Highest revision heard of.
    required: Revision,
    /// Peers asked that haven't answered yet.
    awaited: IndexSet<NodeId>,
    has_store_answer: bool,
    has_peer_answer: bool,
    is_open: bool,
}

impl StartGate {
    /// A closed gate.
    pub fn new() -> Self {
        Self::default()
    }

    /// `peer` was asked for its revision.
    pub fn await_peer(&mut self, peer: NodeId) {
        self.awaited.insert(peer);
    }

    /// `peer` told its revision, asked or not.
    pub fn record_peer_revision(&mut self, peer: NodeId, revision: Revision) {
        self.awaited.swap_remove(&peer);
        self.has_peer_answer = true;
        self.required = self.required.max(revision);
    }

    /// `peer` won't answer: it timed out or can't be reached.
    pub fn stop_awaiting(&mut self, peer: NodeId) {
        self.awaited.swap_remove(&peer);
    }

    /// The table service told its newest revision.
    pub fn record_store_revision(&mut self, revision: Revision) {
        self.has_store_answer = true;
        self.required = self.required.max(revision);
    }

    /// Highest revision heard of; the node should hold it before it takes work.
    pub fn required(&self) -> Revision {
        self.required
    }

    /// Whether a node that holds revision `held` may take work; opens for good when it first may.
    pub fn try_open(&mut self, held: Revision) -> bool {
        let is_required_known =
            self.has_store_answer || (self.has_peer_answer && self.awaited.is_empty());
        self.is_open |= is_required_known && held > Revision::ZERO && held >= self.required;
        self.is_open
    }
}
