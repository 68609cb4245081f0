//! The pulling of one group.

use indexmap::IndexSet;

use crate::{id::NodeId, time::MonotonicTime};

/// When a group is pulled next, and who did not answer.
#[derive(Clone, Debug)]
pub(super) struct WatchState {
    /// Time of the next pull.
    pub(super) due: MonotonicTime,
    /// When the service was last used; decides between hot and cold.
    pub(super) used: MonotonicTime,
    /// The node asked that has not answered yet.
    pub(super) waiting: Option<NodeId>,
    /// Nodes that did not answer since the last answer of any.
    pub(super) silent: IndexSet<NodeId>,
    /// When a member last answered, or the watch began.
    pub(super) answered: MonotonicTime,
}

impl WatchState {
    /// A watch that pulls at once and counts as used.
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self { due: now, used: now, waiting: None, silent: IndexSet::new(), answered: now }
    }

    /// Notes an answer of a member of the group.
    pub(super) fn note_answer(&mut self, now: MonotonicTime) {
        self.waiting = None;
        self.silent.clear();
        self.answered = now;
    }
}
