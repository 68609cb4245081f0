//! The limit that an upstream names in its answers, with answers that cross.

use std::time::Duration;

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
    /// Time of the answer that lifted the last limit.
    lifted_at: Option<MonotonicTime>,
    /// Whether an answer has been received.
    has_heard: bool,
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

    /// Returns whether a limit was lifted less than `recent` ago and none has been named since.
    pub fn is_lifted(&self, now: MonotonicTime, recent: Duration) -> bool {
        let is_recent = self.lifted_at.is_some_and(|lifted| now.since(lifted) < recent);
        is_recent && self.limit.is_none()
    }

    /// Adopts a limit that a caller knows from earlier answers, unless an answer has been received since this tracker
    /// was created. Returns the resulting change; of several limits the lowest applies.
    pub fn adopt(&mut self, now: MonotonicTime, rate: RequestRate) -> Option<LimitChange> {
        if self.has_heard || self.limit.is_some_and(|known| known <= rate) {
            return None;
        }
        self.limit = Some(rate);
        self.named_at = now;
        Some(LimitChange::Named(rate))
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
        self.has_heard = true;
        match (self.limit, named) {
            (None, None) => None,
            (Some(_), None) => {
                if !is_later {
                    return None;
                }
                self.limit = None;
                self.lifted_at = Some(now);
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
