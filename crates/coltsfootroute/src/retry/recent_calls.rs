//! Calls of the last seconds.

use std::collections::VecDeque;

use crate::time::MonotonicTime;

/// Thousandths of a retry in a retry.
pub(super) const THOUSANDTHS_PER_RETRY: u64 = 1_000;
/// Microseconds in a second.
pub(super) const MICROS_PER_SECOND: u64 = 1_000_000;

/// Counts calls, or retries of them, by the second, and forgets them after a fixed number of seconds.
///
/// Invariant: `total` is the sum of `earlier` and `current`; `earlier` holds fewer seconds than are kept.
#[derive(Clone, Debug)]
pub(super) struct RecentCalls {
    /// Seconds kept, the one under way included; at least 1.
    seconds: u64,
    /// Calls of each second before the one under way, the newest last.
    earlier: VecDeque<u64>,
    /// Calls of the second under way.
    current: u64,
    /// The second under way, from the start of the clock.
    newest: u64,
    total: u64,
}

impl RecentCalls {
    /// A count over so many seconds, at least 1.
    pub fn new(seconds: u64) -> Self {
        Self { seconds, earlier: VecDeque::new(), current: 0, newest: 0, total: 0 }
    }

    /// Counts a call.
    pub fn count(&mut self, now: MonotonicTime) {
        self.advance(now);
        self.current += 1;
        self.total += 1;
    }

    /// Takes back a call counted in the second under way; an earlier one stays.
    pub fn uncount(&mut self, now: MonotonicTime) {
        self.advance(now);
        let taken = self.current.min(1);
        self.current -= taken;
        self.total -= taken;
    }

    /// Calls counted in the seconds kept.
    pub fn total(&mut self, now: MonotonicTime) -> u64 {
        self.advance(now);
        self.total
    }

    /// Calls counted in the newest `seconds` of those kept, at least 1: the one under way and those before it.
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
