//! Interval at which a node reads the newest revision from the store.

use std::{ops::RangeInclusive, time::Duration};

use rand::{Rng, RngExt};

/// Time between two reads by all nodes together: the node that reads informs the others.
const FLEET_READ_PERIOD: Duration = Duration::from_secs(2);
/// Longest time between two reads by one node.
const MAX_NODE_PERIOD: Duration = Duration::from_secs(600);
/// Fraction of the period to wait, so that nodes that started together do not read together.
const PERIOD_FRACTION: RangeInclusive<f64> = 0.5..=1.0;

/// Draws the pause of one node between two reads of the newest revision, with `nodes` nodes known.
///
/// Gossip spreads accepted revisions, unless the node that submitted one fails before it has informed any other. The
/// rate of reads by all nodes together does not grow with the number of nodes until the longest period is reached.
pub fn draw_head_interval(nodes: usize, rng: &mut impl Rng) -> Duration {
    let nodes = u32::try_from(nodes.max(1)).unwrap_or(u32::MAX);
    let period = FLEET_READ_PERIOD.saturating_mul(nodes).min(MAX_NODE_PERIOD);
    period.mul_f64(rng.random_range(PERIOD_FRACTION))
}
