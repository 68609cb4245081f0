//! An answer that still has to be handed over.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use coltsfootroute::{drain::AnswerNumber, time::MonotonicTime};

use super::AnswerTracker;

/// An answer that still has to be handed over to its caller; a planned stop waits until it is dropped or its caller gives
/// up.
pub struct OpenAnswer {
    tracker: AnswerTracker,
    number: AnswerNumber,
    /// Time at which the caller gives up, if it states one.
    deadline: Cell<Option<MonotonicTime>>,
}

impl OpenAnswer {
    pub(super) fn new(
        tracker: AnswerTracker,
        number: AnswerNumber,
        deadline: Option<MonotonicTime>,
    ) -> Self {
        Self { tracker, number, deadline: Cell::new(deadline) }
    }

    /// Records that the caller gives up after `remaining`.
    pub fn set_remaining(&self, remaining: Duration) {
        let deadline = self.tracker.clock().now() + remaining;
        self.deadline.set(Some(deadline));
        self.tracker.lock().set_until(self.number, deadline);
    }

    /// Returns the time at which the caller gives up, for timers of the runtime; `None` if it states none.
    pub fn deadline(&self) -> Option<Instant> {
        self.deadline.get().map(|deadline| self.tracker.clock().instant_at(deadline))
    }

    /// Has a planned stop wait for this answer for another `time` at most.
    pub fn wait_for(&self, time: Duration) {
        let until = self.tracker.clock().now() + time;
        self.tracker.lock().set_until(self.number, until);
    }
}

impl Drop for OpenAnswer {
    fn drop(&mut self) {
        self.tracker.lock().finish(self.number);
    }
}
