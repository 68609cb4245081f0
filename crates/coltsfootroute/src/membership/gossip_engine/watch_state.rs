//! Pull state of one group.

use std::time::Duration;

use indexmap::IndexSet;

use crate::{id::NodeId, time::MonotonicTime};

/// Time of the next pull of a group, and the nodes that did not answer.
#[derive(Clone, Debug)]
pub(super) struct WatchState {
    /// Time of the next pull.
    pub(super) due: MonotonicTime,
    /// Time at which the service was last used; decides between the short and the long pull interval.
    pub(super) last_used: MonotonicTime,
    /// Target of the last pull, if it has not answered yet.
    pub(super) pending: Option<NodeId>,
    /// Nodes that have not answered a pull since a member last answered.
    pub(super) silent: IndexSet<NodeId>,
    /// Time at which a member last answered, or at which the watch began or the process resumed from a pause.
    pub(super) last_answer: MonotonicTime,
    /// Time at which a call of this node last reached a member.
    pub(super) last_reached: Option<MonotonicTime>,
    /// Time at which a call of this node last failed to reach a member.
    pub(super) last_unreachable: Option<MonotonicTime>,
}

impl WatchState {
    /// Creates a watch that pulls immediately and whose service counts as in use.
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self {
            due: now,
            last_used: now,
            pending: None,
            silent: IndexSet::new(),
            last_answer: now,
            last_reached: None,
            last_unreachable: None,
        }
    }

    /// Whether the group may be gone: no member has answered a pull or a call for `silence`, and a call has failed to
    /// reach a member since the last answer to a pull. Unanswered pulls alone are no proof, because a member that has
    /// used up its bandwidth budget does not answer either.
    pub(super) fn may_be_gone(&self, now: MonotonicTime, silence: Duration) -> bool {
        let is_silent = |last: MonotonicTime| now.since(last) >= silence;
        is_silent(self.last_answer)
            && self.last_reached.is_none_or(is_silent)
            && self.last_unreachable.is_some_and(|failed| failed >= self.last_answer)
    }

    /// Notes an answer to a pull by a member of the group.
    pub(super) fn note_answer(&mut self, now: MonotonicTime) {
        self.pending = None;
        self.silent.clear();
        self.last_answer = now;
    }
}
