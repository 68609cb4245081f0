//! Tracker of the answers that the node still has to hand over.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use coltsfootroute::drain::UnsentAnswers;

use super::OpenAnswer;
use crate::clock::MonotonicClock;

/// Time for which a planned stop waits for an answer whose caller states no deadline.
const DEFAULT_ANSWER_TIME: Duration = Duration::from_secs(30);

/// Tracker of the answers that the node still has to hand over; shared by its listeners, its links and the planned stop.
#[derive(Clone, Default)]
pub struct AnswerTracker {
    state: Arc<TrackerState>,
}

#[derive(Default)]
struct TrackerState {
    clock: MonotonicClock,
    answers: Mutex<UnsentAnswers>,
}

impl AnswerTracker {
    /// Creates a tracker without answers.
    pub fn new(clock: MonotonicClock) -> Self {
        Self { state: Arc::new(TrackerState { clock, answers: Mutex::default() }) }
    }

    /// Records a request that has been read. Its answer counts as open until the returned value is dropped.
    pub fn begin(&self) -> OpenAnswer {
        let until = self.clock().now() + DEFAULT_ANSWER_TIME;
        let number = self.lock().begin(until);
        OpenAnswer::new(self.clone(), number, None)
    }

    /// Records a request like [`AnswerTracker::begin`], whose caller gives up after `remaining`.
    pub fn begin_within(&self, remaining: Duration) -> OpenAnswer {
        let deadline = self.clock().now() + remaining;
        let number = self.lock().begin(deadline);
        OpenAnswer::new(self.clone(), number, Some(deadline))
    }

    /// Excludes the answers to later requests from [`AnswerTracker::waiting`]; further calls have no effect.
    pub fn seal(&self) {
        self.lock().seal();
    }

    /// Returns the number of answers that a planned stop has to wait for.
    pub fn waiting(&self) -> usize {
        let now = self.clock().now();
        self.lock().waiting(now)
    }

    /// Returns the clock in which callers' deadlines are given.
    pub(super) fn clock(&self) -> &MonotonicClock {
        &self.state.clock
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, UnsentAnswers> {
        // Each update under the lock is complete at every point where it could panic.
        self.state.answers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
