//! Detection of polls that no longer receive configuration changes.

use std::time::Duration;

use crate::{revision::Revision, time::MonotonicTime};

/// Longest time by which an open poll may receive a change later than other nodes; a slow store or the pause between
/// two polls causes a shorter one.
const MAX_LAG: Duration = Duration::from_secs(1);

/// Detects whether an open poll to the store is stale: other nodes have had a change for `MAX_LAG` that the poll has
/// not received.
#[derive(Clone, Copy, Debug)]
pub struct FeedMonitor {
    /// Newest revision that the store had reported when the poll began.
    known_revision: Revision,
    /// Time at which a newer revision than `known_revision` was first seen in force; `None` before that.
    stale_since: Option<MonotonicTime>,
}

impl FeedMonitor {
    /// Creates a monitor for a new poll; `known_revision` is the newest revision that the store has reported.
    pub fn new(known_revision: Revision) -> Self {
        Self { known_revision, stale_since: None }
    }

    /// Returns whether the poll is stale at `now`, with the revision `in_force` in force. To be called a few times a
    /// second.
    pub fn is_stale(&mut self, now: MonotonicTime, in_force: Revision) -> bool {
        if in_force <= self.known_revision {
            return false;
        }
        let since = *self.stale_since.get_or_insert(now);
        now.since(since) >= MAX_LAG
    }
}
