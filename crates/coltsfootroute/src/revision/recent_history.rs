//! Bounded list of the latest revisions that a process has seen.

use super::{HistoryRecord, InForceRecord, Revision, RevisionRecord};
use std::collections::VecDeque;

/// Bounded list of the latest revisions, filled from events. The whole history is in the table service.
///
/// Invariants: revision numbers strictly increase; there are at most `capacity` revisions, each with at most
/// `capacity` nodes.
#[derive(Clone, Debug)]
pub struct RecentHistory {
    records: VecDeque<HistoryRecord>,
    capacity: usize,
}

impl RecentHistory {
    /// Creates an empty list of at most `capacity` revisions.
    pub fn new(capacity: usize) -> Self {
        Self { records: VecDeque::new(), capacity }
    }

    /// Appends a revision. Ignores one that isn't newer than the last, and evicts the oldest beyond the capacity.
    pub fn push(&mut self, record: RevisionRecord) {
        if self.records.back().is_some_and(|last| last.record.revision >= record.revision) {
            return;
        }
        self.records.push_back(HistoryRecord { record, in_force: Vec::new() });
        if self.records.len() > self.capacity {
            self.records.pop_front();
        }
    }

    /// Records that a node put a revision in force. Ignored if the revision isn't listed, its chain digest differs,
    /// the node is already recorded, or `capacity` nodes are.
    pub fn note_in_force(&mut self, note: InForceRecord) {
        let mut records = self.records.iter_mut();
        let Some(history) = records.find(|history| history.record.revision == note.revision) else {
            return;
        };
        let is_recorded = history.in_force.iter().any(|earlier| earlier.node == note.node);
        if history.record.chain == note.chain
            && !is_recorded
            && history.in_force.len() < self.capacity
        {
            history.in_force.push(note);
        }
    }

    /// Returns the revisions after `revision`, oldest first.
    pub fn after(&self, revision: Revision) -> impl Iterator<Item = &HistoryRecord> {
        self.records.iter().filter(move |history| history.record.revision > revision)
    }
}
