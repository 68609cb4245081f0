//! How long the store may hold a question for changes.

use std::{ops::RangeInclusive, time::Duration};

use rand::{Rng, RngExt};

/// Time between two ends of polls in the fleet: each end shows whether the store still answers, and the node that asks
/// anew hears of changes again.
const RENEWAL_PERIOD: Duration = Duration::from_millis(500);
/// Longest hold where few nodes are known.
const MIN_LONGEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest hold at all: the store holds no question longer.
const MAX_LONGEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Shortest hold.
const MIN_TIMEOUT: Duration = Duration::from_millis(200);
/// Part of the longest hold of a question that follows one without news.
const STEADY_FRACTION: RangeInclusive<f64> = 0.9..=1.0;

/// How long the store may hold a question for changes; each question costs a call.
///
/// The polls of all nodes end spread over time, at a rate that does not grow with the fleet until the longest hold is
/// reached. So a silence_connections towards all is noticed soon by some, who tell the others what has changed.
#[derive(Clone, Copy, Debug)]
pub struct FeedTimeout {
    /// The question before was answered with a change, or not at all: all nodes may be asking at this moment.
    is_after_change: bool,
}

impl FeedTimeout {
    /// Before the first question.
    pub fn new() -> Self {
        Self { is_after_change: true }
    }

    /// The question has ended, without news if the store has answered that nothing has changed.
    pub fn record_end(&mut self, has_change: bool) {
        self.is_after_change = has_change;
    }

    /// How long the next question may be held, where `nodes` nodes are known to ask.
    pub fn draw(&self, nodes: usize, rng: &mut impl Rng) -> Duration {
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        let longest =
            RENEWAL_PERIOD.saturating_mul(nodes).clamp(MIN_LONGEST_TIMEOUT, MAX_LONGEST_TIMEOUT);
        match self.is_after_change {
            // Ends at once at all nodes would be followed by a long time without any.
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
