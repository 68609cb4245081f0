//! The limit that an upstream names in its answers, with answers that cross.

use super::{LimitChange, RequestRate};
use crate::time::MonotonicTime;

/// Tracks the limit that one incarnation of an upstream names in its answers.
///
/// Answers cross on their way. An answer replaces what was known when its request was sent; one to an earlier request
/// can only lower the limit, never raise or lift it.
#[derive(Clone, Debug, Default)]
pub struct LimitTracker {
    limit: Option<RequestRate>,
    /// Time of the latest answer that named a limit; meaningless while there is none.
    named_at: MonotonicTime,
}

impl LimitTracker {
    /// Creates a tracker that has received no answer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the limit that applies; `None` if the upstream names none.
    pub fn limit(&self) -> Option<RequestRate> {
        self.limit
    }

    /// Records an answer to a request that was sent at `sent`; `named` is the limit in the answer, `None` if it names
    /// none. Returns the resulting change.
    pub fn record_answer(
        &mut self,
        now: MonotonicTime,
        sent: MonotonicTime,
        named: Option<RequestRate>,
    ) -> Option<LimitChange> {
        let is_later = sent > self.named_at;
        match (self.limit, named) {
            (None, None) => None,
            (Some(_), None) => {
                if !is_later {
                    return None;
                }
                self.limit = None;
                Some(LimitChange::Lifted)
            }
            (known, Some(rate)) => {
                let is_ignored = known.is_some_and(|known| rate > known && !is_later);
                if is_ignored {
                    return None;
                }
                self.named_at = now;
                let has_changed = self.limit.replace(rate) != Some(rate);
                has_changed.then_some(LimitChange::Named(rate))
            }
        }
    }
}
