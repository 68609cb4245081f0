//! Whether an open question to the store still hears of changes.

use std::time::Duration;

use crate::{revision::Revision, time::MonotonicTime};

/// How much later than others an open question may hear of a change: a store that is slow or a pause between two questions
/// explains less.
const MOST_LAG: Duration = Duration::from_secs(1);

/// Whether an open question to the store still hears of changes: not if others have long heard of one.
#[derive(Clone, Copy, Debug)]
pub struct FeedWatch {
    /// Newest revision that the store had told of when the question was asked.
    heard: Revision,
    /// Since when a newer one is in force that the question has not told of.
    behind_since: Option<MonotonicTime>,
}

impl FeedWatch {
    /// A question that is just being asked; `heard` is the newest revision that the store has told of.
    pub fn new(heard: Revision) -> Self {
        Self { heard, behind_since: None }
    }

    /// Whether the question is deaf at `now`, where `held` is in force. Look some times a second.
    pub fn is_deaf(&mut self, now: MonotonicTime, held: Revision) -> bool {
        if held <= self.heard {
            return false;
        }
        let since = *self.behind_since.get_or_insert(now);
        now.since(since) >= MOST_LAG
    }
}
