//! How long the store may hold a question for changes.

use std::{ops::RangeInclusive, time::Duration};

use rand::{Rng, RngExt};

/// Time between two ends of questions in the fleet: each end shows whether the store still answers, and the node that asks
/// anew hears of changes again.
const RENEWAL_PERIOD: Duration = Duration::from_millis(500);
/// Longest hold where few nodes are known.
const LEAST_LONGEST: Duration = Duration::from_secs(3);
/// Longest hold at all: the store holds no question longer.
const MOST_LONGEST: Duration = Duration::from_secs(30);
/// Shortest hold.
const SHORTEST: Duration = Duration::from_millis(200);
/// Part of the longest hold of a question that follows one without news.
const STEADY_PART: RangeInclusive<f64> = 0.9..=1.0;

/// How long the store may hold a question for changes; each question costs a call.
///
/// The questions of all nodes end spread over time, at a rate that does not grow with the fleet until the longest hold is
/// reached. So a silence towards all is noticed soon by some, who tell the others what has changed.
#[derive(Clone, Copy, Debug)]
pub struct FeedHold {
    /// The question before was answered with a change, or not at all: all nodes may be asking at this moment.
    is_after_news: bool,
}

impl FeedHold {
    /// Before the first question.
    pub fn new() -> Self {
        Self { is_after_news: true }
    }

    /// The question has ended, without news if the store has answered that nothing has changed.
    pub fn note_end(&mut self, is_news: bool) {
        self.is_after_news = is_news;
    }

    /// How long the next question may be held, where `nodes` nodes are known to ask.
    pub fn draw(&self, nodes: usize, rng: &mut impl Rng) -> Duration {
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        let longest = RENEWAL_PERIOD.saturating_mul(nodes).clamp(LEAST_LONGEST, MOST_LONGEST);
        match self.is_after_news {
            // Ends at once at all nodes would be followed by a long time without any.
            true => rng.random_range(SHORTEST..=longest),
            false => longest.mul_f64(rng.random_range(STEADY_PART)),
        }
    }
}

impl Default for FeedHold {
    fn default() -> Self {
        Self::new()
    }
}
