//! When a refused caller may come back.

use rand::{Rng, RngExt};

use super::ShedLevel;
use crate::importance::Importance;

/// Least hint, in seconds.
const MIN_SECONDS: u32 = 1;
/// Greatest hint, in seconds.
const MAX_SECONDS: u32 = 10;

value_type! {
    /// Hint to a refused caller: whole seconds to wait, between 1 and 10.
    pub struct RetryAfter(pub u32);
}

impl RetryAfter {
    /// Draws a hint for work of `importance` where `level` is in force.
    ///
    /// `load` is the work offered over the work that fits, 1 if unknown. The hints spread evenly over
    /// a span that grows with the load and with the distance of the importance below the border, so
    /// callers come back spread out, and the more important ones sooner.
    pub fn draw(importance: Importance, level: ShedLevel, load: f64, rng: &mut impl Rng) -> Self {
        let distance = (level.levels() - importance.index() as f64).max(0.0);
        let span = (1.0 + distance) * load.clamp(1.0, f64::from(MAX_SECONDS));
        let latest = MIN_SECONDS + (span.ceil() as u32).min(MAX_SECONDS - MIN_SECONDS);
        Self(rng.random_range(MIN_SECONDS..=latest))
    }
}
