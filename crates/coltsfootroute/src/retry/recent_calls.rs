//! Count of calls over the last seconds.

use std::collections::VecDeque;

use crate::time::MonotonicTime;

/// Number of accounting units, thousandths of a retry, in one retry.
pub(super) const THOUSANDTHS_PER_RETRY: u64 = 1_000;
pub(super) const MICROS_PER_SECOND: u64 = 1_000_000;

/// Counts calls or retries per second and drops the counts after a fixed number of seconds.
///
/// Invariant: `total` is the sum of `earlier` and `current`; `earlier` holds fewer than `seconds` entries.
#[derive(Clone, Debug)]
pub(super) struct RecentCalls {
    /// Number of seconds kept, including the current one; at least 1.
    seconds: u64,
    /// Calls of each second before the current one, newest last.
    earlier: VecDeque<u64>,
    /// Calls of the current second.
    current: u64,
    /// Index of the current second, counted from the start of the clock.
    newest: u64,
    total: u64,
}

impl RecentCalls {
    /// Creates a count over the last `seconds`, at least 1.
    pub fn new(seconds: u64) -> Self {
        Self { seconds, earlier: VecDeque::new(), current: 0, newest: 0, total: 0 }
    }

    /// Counts a call at `now`.
    pub fn count(&mut self, now: MonotonicTime) {
        self.advance(now);
        self.current += 1;
        self.total += 1;
    }

    /// Removes a call that was counted in the current second; calls of earlier seconds stay counted.
    pub fn remove(&mut self, now: MonotonicTime) {
        self.advance(now);
        let removed = self.current.min(1);
        self.current -= removed;
        self.total -= removed;
    }

    /// Returns the number of calls counted in all seconds kept.
    pub fn total(&mut self, now: MonotonicTime) -> u64 {
        self.advance(now);
        self.total
    }

    /// Returns the number of calls in the newest `seconds` of those kept, including the current one; at least 1.
    pub fn newest(&mut self, now: MonotonicTime, seconds: u64) -> u64 {
        self.advance(now);
        let earlier = usize::try_from(seconds.saturating_sub(1)).unwrap_or(usize::MAX);
        self.current + self.earlier.iter().rev().take(earlier).sum::<u64>()
    }

    fn advance(&mut self, now: MonotonicTime) {
        let second = now.0 / MICROS_PER_SECOND;
        let passed = second.saturating_sub(self.newest).min(self.seconds);
        self.newest = second.max(self.newest);
        for _ in 0..passed {
            self.earlier.push_back(std::mem::take(&mut self.current));
        }
        while self.earlier.len() as u64 >= self.seconds {
            self.total -= self.earlier.pop_front().unwrap_or_default();
        }
    }
}
