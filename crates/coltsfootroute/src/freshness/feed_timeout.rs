//! Timeout of long polls for configuration changes.

use std::{ops::RangeInclusive, time::Duration};

use rand::{Rng, RngExt};

/// Time between the ends of two polls among all nodes: each end shows whether the store still answers, and the next
/// poll of that node receives changes again.
const RENEWAL_PERIOD: Duration = Duration::from_millis(500);
/// Longest timeout if few nodes are known.
const MIN_LONGEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest timeout with any number of nodes: the store keeps no poll open longer.
const MAX_LONGEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Shortest timeout.
const MIN_TIMEOUT: Duration = Duration::from_millis(200);
/// Fraction of the longest timeout for a poll that follows one without changes.
const STEADY_FRACTION: RangeInclusive<f64> = 0.9..=1.0;

/// Timeout of long polls to the store for configuration changes; each poll costs a call.
///
/// The ends of all nodes' polls are spread over time, at a rate that does not grow with the number of nodes until the
/// longest timeout is reached. So if the store stops answering all open polls, some nodes notice soon and inform the
/// others of what has changed.
#[derive(Clone, Copy, Debug)]
pub struct FeedTimeout {
    /// Whether the previous poll was answered with a change or not at all, so that all nodes may be starting a poll
    /// now.
    is_after_change: bool,
}

impl FeedTimeout {
    /// Creates the state before the first poll.
    pub fn new() -> Self {
        Self { is_after_change: true }
    }

    /// Records the end of a poll. `has_change` is false only if the store has answered that nothing has changed.
    pub fn record_end(&mut self, has_change: bool) {
        self.is_after_change = has_change;
    }

    /// Draws the timeout of the next poll, with `nodes` nodes known to poll.
    pub fn draw(&self, nodes: usize, rng: &mut impl Rng) -> Duration {
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        let longest =
            RENEWAL_PERIOD.saturating_mul(nodes).clamp(MIN_LONGEST_TIMEOUT, MAX_LONGEST_TIMEOUT);
        match self.is_after_change {
            // If all nodes' polls ended at the same time, none would end for a long time after.
            true => rng.random_range(MIN_TIMEOUT..=longest),
            false => longest.mul_f64(rng.random_range(STEADY_FRACTION)),
        }
    }
}

impl Default for FeedTimeout {
    fn default() -> Self {
        Self::new()
    }
}
