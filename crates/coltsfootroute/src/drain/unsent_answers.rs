//! Answers that a process still has to hand over to their callers.

use indexmap::IndexMap;

use super::AnswerNumber;
use crate::time::MonotonicTime;

/// Answers that a process still has to hand over to their callers. A request is over for its caller only once the last
/// byte of its answer has left the process; until then a planned stop waits for it.
///
/// Invariants: an answer is waited for from [`UnsentAnswers::begin`] until [`UnsentAnswers::finish`], but never past the
/// time at which its caller gives up; after [`UnsentAnswers::seal`], no answer to a later request is waited for.
#[derive(Clone, Debug, Default)]
pub struct UnsentAnswers {
    /// Time at which the caller of each answer gives up.
    open: IndexMap<AnswerNumber, MonotonicTime>,
    /// Number of the next answer.
    next: AnswerNumber,
    /// First number that is not waited for; `None` before the seal.
    sealed: Option<AnswerNumber>,
}

impl UnsentAnswers {
    /// Records a request that has been read, whose caller gives up at `until`.
    pub fn begin(&mut self, until: MonotonicTime) -> AnswerNumber {
        let number = self.next;
        self.next = AnswerNumber(number.0 + 1);
        self.open.insert(number, until);
        number
    }

    /// Changes the time at which the caller gives up; does nothing for an answer that has been finished.
    pub fn set_until(&mut self, number: AnswerNumber, until: MonotonicTime) {
        if let Some(known) = self.open.get_mut(&number) {
            *known = until;
        }
    }

    /// Records that the answer has been handed over, or that its caller has gone.
    pub fn finish(&mut self, number: AnswerNumber) {
        self.open.swap_remove(&number);
    }

    /// Excludes the answers to later requests; further calls have no effect. A process that is about to stop refuses
    /// those, so that callers that keep sending do not hold it.
    pub fn seal(&mut self) {
        self.sealed.get_or_insert(self.next);
    }

    /// Returns the number of answers that are waited for at `now`.
    pub fn waiting(&self, now: MonotonicTime) -> usize {
        let is_sealed_out = |number| self.sealed.is_some_and(|sealed| sealed <= number);
        self.open.iter().filter(|(number, until)| !is_sealed_out(**number) && now < **until).count()
    }
}
