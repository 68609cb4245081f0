//! Calls of the last seconds.

use std::collections::VecDeque;

use crate::time::MonotonicTime;

/// Thousandths of a retry in a retry.
pub(super) const WHOLE: u64 = 1_000;
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
        if let Some(count) = self.counts_now(now) {
            *count += 1;
            self.total += 1;
        }
    }

    /// Takes back a call counted in the second under way; an earlier one stays.
    pub fn take_back(&mut self, now: MonotonicTime) {
        if let Some(count) = self.counts_now(now).filter(|count| **count > 0) {
            *count -= 1;
            self.total -= 1;
        }
    }

    /// Calls counted in the seconds kept.
    pub fn total(&mut self, now: MonotonicTime) -> u64 {
        self.advance(now.0 / SECOND_MICROS);
        self.total
    }

    /// The count of the second under way; `None` where none are kept.
    fn counts_now(&mut self, now: MonotonicTime) -> Option<&mut u64> {
        self.advance(now.0 / SECOND_MICROS);
        if self.counts.is_empty() && self.seconds > 0 {
            self.counts.push_back(0);
        }
        self.counts.back_mut()
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
