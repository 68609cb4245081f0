//! Window after a restart in which a heartbeat may belong to an upstream that has left.

use std::time::Duration;

use crate::time::MonotonicTime;

/// Longest time that a heartbeat may take to arrive; equal to the time without heartbeats after which an upstream
/// counts as gone.
pub(super) const MAX_HEARTBEAT_DELAY: Duration = Duration::from_secs(5);

/// Time after a restart in which the node may not know the leaves that its previous incarnation acknowledged.
///
/// While the window is open, a heartbeat may come from an upstream that has left, because it may have been sent before
/// the leave. The window closes once the rows written by the previous incarnation have been read. At the latest it
/// closes when any heartbeat that arrives must have been sent after the start, and so by an upstream that had not left
/// by then. If the store is unavailable, the slots of the node's upstream are lost for that time after a start.
#[derive(Clone, Copy, Debug)]
pub struct ResumeWindow {
    started: MonotonicTime,
    /// Whether the rows written by the previous incarnation have been read.
    leaves_read: bool,
}

impl ResumeWindow {
    /// Creates the window of a node that starts at `now`.
    pub fn new(now: MonotonicTime) -> Self {
        Self { started: now, leaves_read: false }
    }

    /// Notes that the rows written by the previous incarnation have been read, which closes the window.
    pub fn note_leaves_read(&mut self) {
        self.leaves_read = true;
    }

    /// Whether a heartbeat that arrives at `now` may come from an upstream whose leave was acknowledged.
    pub fn is_open(&self, now: MonotonicTime) -> bool {
        !self.leaves_read && now.since(self.started) <= MAX_HEARTBEAT_DELAY
    }
}
