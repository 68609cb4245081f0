//! Delay after which a refused caller may retry.

use std::{ops::RangeInclusive, time::Duration};

use rand::{Rng, RngExt};

use super::{HintWindow, ShedLevel};
use crate::importance::Importance;

/// Shortest hint. A shed level takes about 0.4 s to follow half of a change in demand, so an earlier retry would
/// be decided by the same level that refused the request.
const MIN_HINT: Duration = Duration::from_millis(300);
/// Smallest width of a range of hints, so that callers refused at the same time do not retry at the same time.
const MIN_HINT_SPAN: Duration = Duration::from_millis(100);
/// Width of the range of hints for work at the border importance; the range grows by as much for each whole level below
/// it. Longer hints waste capacity: callers that wait for several seconds often give up before they retry, although a
/// shorter overload has left free slots in the meantime.
const HINT_SPAN: Duration = Duration::from_millis(700);
/// Range of hints, in milliseconds, where a node, an upstream or a configuration is missing rather than overloaded: a
/// node that stops is back within seconds, and an upstream that is gone is replaced as soon as another one is known.
const ABSENCE_HINT_MILLIS: RangeInclusive<u64> = 1_000..=2_000;
/// Longest hint.
const MAX_HINT: Duration = Duration::from_secs(10);
/// Largest load ratio by which the range of hints is multiplied.
const MAX_LOAD_RATIO: f64 = 10.0;

value_type! {
    /// Time that a refused caller should wait before a retry, between 0.3 and 10 s.
    pub struct RetryAfter(pub Duration);
}

impl RetryAfter {
    /// Draws a random hint for work of `importance` while `level` is in force.
    ///
    /// `load` is the ratio of offered work to capacity, 1 if unknown. Hints are distributed uniformly
    /// over a range that grows with the load and with the distance of the importance below the border
    /// of the level. Retries are thus spread over time, and more important work is retried sooner.
    pub fn draw(importance: Importance, level: ShedLevel, load: f64, rng: &mut impl Rng) -> Self {
        let levels_below_border = (level.levels() - importance.index() as f64).max(0.0);
        let span = HINT_SPAN.mul_f64((1.0 + levels_below_border) * load.clamp(1.0, MAX_LOAD_RATIO));
        let latest = (MIN_HINT + span).min(MAX_HINT);
        Self::draw_until(latest, rng)
    }

    /// Returns the hint unchanged if it is at most the end of `window`, and otherwise draws one uniformly from [`MIN_HINT`]
    /// to there. The end counts as at least [`MIN_HINT`] + [`MIN_HINT_SPAN`], so a hint can lie after a window that ends
    /// sooner.
    #[must_use]
    pub fn within(self, window: HintWindow, rng: &mut impl Rng) -> Self {
        match window.latest().map(|latest| latest.max(MIN_HINT + MIN_HINT_SPAN)) {
            Some(latest) if self.0 > latest => Self::draw_until(latest, rng),
            _ => self,
        }
    }

    /// Draws a random hint for a missing node, upstream or configuration.
    pub fn draw_for_absence(rng: &mut impl Rng) -> Self {
        Self(Duration::from_millis(rng.random_range(ABSENCE_HINT_MILLIS)))
    }

    fn draw_until(latest: Duration, rng: &mut impl Rng) -> Self {
        let millis = rng.random_range(MIN_HINT.as_millis()..=latest.as_millis());
        Self(Duration::from_millis(u64::try_from(millis).unwrap_or(u64::MAX)))
    }
}
