//! When a refused caller may come back.

use std::{ops::RangeInclusive, time::Duration};

use rand::{Rng, RngExt};

use super::ShedLevel;
use crate::importance::Importance;

/// Least hint. A level follows the demand within some 0.4 s for half of a change: who comes back sooner meets the level
/// that has refused it.
const MIN_HINT: Duration = Duration::from_millis(300);
/// Span of the hints for work at the border of what is shed, and for each whole level below it. A caller that waits
/// for whole seconds has often lost its patience by then, while in an overload that is over sooner there was room.
const HINT_SPAN: Duration = Duration::from_millis(700);
/// Hints where something is missing and not full: a node that stops is back after some seconds, an upstream that has
/// gone when another is known.
const ABSENCE_HINT_MILLIS: RangeInclusive<u64> = 1_000..=2_000;
/// Greatest hint.
const MAX_HINT: Duration = Duration::from_secs(10);
/// Greatest factor for the load.
const MAX_LOAD_RATIO: f64 = 10.0;

value_type! {
    /// Hint to a refused caller: time to wait, between 0.3 and 10 s.
    pub struct RetryAfter(pub Duration);
}

impl RetryAfter {
    /// Draws a hint for work of `importance` where `level` is in force.
    ///
    /// `load` is the work offered over the work that fits, 1 if unknown. The hints spread evenly over
    /// a span that grows with the load and with the distance of the importance below the border, so
    /// callers come back spread out, and the more important ones sooner.
    pub fn draw(importance: Importance, level: ShedLevel, load: f64, rng: &mut impl Rng) -> Self {
        let levels_below_border = (level.levels() - importance.index() as f64).max(0.0);
        let span = HINT_SPAN.mul_f64((1.0 + levels_below_border) * load.clamp(1.0, MAX_LOAD_RATIO));
        let latest = (MIN_HINT + span).min(MAX_HINT);
        let millis = rng.random_range(MIN_HINT.as_millis()..=latest.as_millis());
        Self(Duration::from_millis(u64::try_from(millis).unwrap_or(u64::MAX)))
    }

    /// Draws a hint where a node, an upstream or a configuration is not there.
    pub fn draw_for_absence(rng: &mut impl Rng) -> Self {
        Self(Duration::from_millis(rng.random_range(ABSENCE_HINT_MILLIS)))
    }
}
