//! Whether a node that has started knows of the leaves that its life before has acknowledged.

use std::time::Duration;

use crate::time::MonotonicTime;

/// Longest time that a heartbeat is under way: as long as an upstream may be silent and still counts as there.
const MAX_HEARTBEAT_DELAY: Duration = Duration::from_secs(5);

/// Whether a node that has started knows of the leaves that its life before has acknowledged.
///
/// While it is open a heartbeat may come from an upstream that has left: it may have been sent before the leave. It closes
/// once what the life before wrote has been read, and at the latest when a heartbeat that still comes must have been sent
/// after the start, and so by an upstream that had not left by then. Without the store a start costs the slots of its
/// upstream for that time.
#[derive(Clone, Copy, Debug)]
pub struct ResumeWindow {
    started: MonotonicTime,
    /// Whether what the life before this one wrote has been read.
    leaves_read: bool,
}

impl ResumeWindow {
    /// The window of a node that has started `now`.
    pub fn new(now: MonotonicTime) -> Self {
        Self { started: now, leaves_read: false }
    }

    /// What the life before this one wrote has been read.
    pub fn note_leaves_read(&mut self) {
        self.leaves_read = true;
    }

    /// Whether a heartbeat that comes now may be of an upstream whose leave was acknowledged.
    pub fn is_open(&self, now: MonotonicTime) -> bool {
        !self.leaves_read && now.since(self.started) <= MAX_HEARTBEAT_DELAY
    }
}
