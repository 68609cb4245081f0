//! The last revisions that a process has seen.

use super::{HistoryRecord, InForceRecord, Revision, RevisionRecord};
use std::collections::VecDeque;

/// A bounded list of the last revisions, fed from events. The whole history is in the table service.
///
/// Invariants: revisions rise strictly; at most `capacity` of them, each with at most `capacity` nodes.
#[derive(Clone, Debug)]
pub struct RecentHistory {
    records: VecDeque<HistoryRecord>,
    capacity: usize,
}

impl RecentHistory {
    /// An empty list of at most `capacity` revisions.
    pub fn new(capacity: usize) -> Self {
        Self { records: VecDeque::new(), capacity }
    }

    /// Adds a revision; one that isn't newer than the last is ignored.
    pub fn push(&mut self, record: RevisionRecord) {
        if self.records.back().is_some_and(|last| last.record.revision >= record.revision) {
            return;
        }
        self.records.push_back(HistoryRecord { record, in_force: Vec::new() });
        if self.records.len() > self.capacity {
            self.records.pop_front();
        }
    }

    /// Notes that a node put a revision in force; ignored for a revision not listed, for another chain, or
    /// if the node is already noted.
    pub fn note_in_force(&mut self, note: InForceRecord) {
        let mut records = self.records.iter_mut();
        let Some(history) = records.find(|history| history.record.revision == note.revision) else {
            return;
        };
        let is_noted = history.in_force.iter().any(|earlier| earlier.node == note.node);
        if history.record.chain == note.chain && !is_noted && history.in_force.len() < self.capacity
        {
            history.in_force.push(note);
        }
    }

    /// The revisions after `revision`, oldest first.
    pub fn after(&self, revision: Revision) -> impl Iterator<Item = &HistoryRecord> {
        self.records.iter().filter(move |history| history.record.revision > revision)
    }
}
