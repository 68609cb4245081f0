//! The pulling of one group.

use std::time::Duration;

use indexmap::IndexSet;

use crate::{id::NodeId, time::MonotonicTime};

/// When a group is pulled next, and who did not answer.
#[derive(Clone, Debug)]
pub(super) struct WatchState {
    /// Time of the next pull.
    pub(super) due: MonotonicTime,
    /// When the service was last used; decides between hot and cold.
    pub(super) last_used: MonotonicTime,
    /// The node asked that has not answered yet.
    pub(super) pending: Option<NodeId>,
    /// Nodes that did not answer since the last answer of any.
    pub(super) silent: IndexSet<NodeId>,
    /// When a member last answered, or the watch began.
    pub(super) last_answer: MonotonicTime,
    /// When a call of this node last reached a member.
    pub(super) last_reached: Option<MonotonicTime>,
    /// When a call of this node last failed to reach a member.
    pub(super) last_unreachable: Option<MonotonicTime>,
}

impl WatchState {
    /// A watch that pulls at once and counts as used.
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

    /// Whether the group may be gone: nobody has answered a pull or a call for `silence`, and since the last
    /// answer a call has failed to reach a member. A member out of bytes is silent as well, so that silence
    /// alone proves nothing.
    pub(super) fn may_be_gone(&self, now: MonotonicTime, silence: Duration) -> bool {
        let is_silent = |heard: MonotonicTime| now.since(heard) >= silence;
        is_silent(self.last_answer)
            && self.last_reached.is_none_or(is_silent)
            && self.last_unreachable.is_some_and(|failed| failed >= self.last_answer)
    }

    /// Notes an answer of a member of the group.
    pub(super) fn note_answer(&mut self, now: MonotonicTime) {
        self.pending = None;
        self.silent.clear();
        self.last_answer = now;
    }
}
