//! Calls of the last seconds.

use std::collections::VecDeque;

use crate::time::MonotonicTime;

/// Microseconds in a second.
pub(super) const SECOND_MICROS: u64 = 1_000_000;

/// Counts calls by the second, and forgets them after a fixed number of seconds.
///
/// Invariant: `total` is the sum of `counts`, of which there are at most as many as seconds are kept.
#[derive(Clone, Debug)]
pub(super) struct RecentCalls {
    /// Seconds kept, the one under way included.
    seconds: u64,
    /// Calls of each second, the newest last.
    counts: VecDeque<u64>,
    /// The second under way, from the start of the clock.
    newest: u64,
    total: u64,
}

impl RecentCalls {
    /// A count over so many seconds; of none it stays zero.
    pub fn new(seconds: u64) -> Self {
        Self { seconds, counts: VecDeque::new(), newest: 0, total: 0 }
    }

    /// Counts a call.
    pub fn count(&mut self, now: MonotonicTime) {
        if self.seconds == 0 {
            return;
        }
        self.advance(now.0 / SECOND_MICROS);
        match self.counts.back_mut() {
            Some(count) => *count += 1,
            None => self.counts.push_back(1),
        }
        self.total += 1;
    }

    /// Calls counted, as of the last one.
    pub fn total(&self) -> u64 {
        self.total
    }

    fn advance(&mut self, second: u64) {
        let passed = second.saturating_sub(self.newest).min(self.seconds);
        self.newest = second.max(self.newest);
        for _ in 0..passed {
            self.counts.push_back(0);
        }
        while self.counts.len() as u64 > self.seconds {
            self.total -= self.counts.pop_front().unwrap_or_default();
        }
    }
}
