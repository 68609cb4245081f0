//! Whether an open question to the store still hears of changes.

use std::time::Duration;

use crate::{revision::Revision, time::MonotonicTime};

/// How much later than others an open question may hear of a change: a store that is slow or a pause between two polls
/// explains less.
const MAX_LAG: Duration = Duration::from_secs(1);

/// Whether an open question to the store still hears of changes: not if others have long known_revision of one.
#[derive(Clone, Copy, Debug)]
pub struct FeedMonitor {
    /// Newest revision that the store had told of when the question was asked.
    known_revision: Revision,
    /// Since when a newer one is in force that the question has not told of.
    stale_since: Option<MonotonicTime>,
}

impl FeedMonitor {
    /// A question that is just being asked; `known_revision` is the newest revision that the store has told of.
    pub fn new(known_revision: Revision) -> Self {
        Self { known_revision, stale_since: None }
    }

    /// Whether the question is deaf at `now`, where `in_force` is in force. Look some times a second.
    pub fn is_stale(&mut self, now: MonotonicTime, in_force: Revision) -> bool {
        if in_force <= self.known_revision {
            return false;
        }
        let since = *self.stale_since.get_or_insert(now);
        now.since(since) >= MAX_LAG
    }
}
