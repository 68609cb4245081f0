//! How often a node reads the newest revision from the store.

use std::{ops::RangeInclusive, time::Duration};

use rand::{Rng, RngExt};

/// Time between two reads of all nodes together: who reads tells the others.
const FLEET_READ_PERIOD: Duration = Duration::from_secs(2);
/// Longest time between two reads of one node.
const MAX_NODE_PERIOD: Duration = Duration::from_secs(600);
/// Part of a period that is waited: nodes that have started together do not read together.
const PERIOD_FRACTION: RangeInclusive<f64> = 0.5..=1.0;

/// Pause of one node between two reads of the newest revision, where `nodes` nodes are known.
///
/// Gossip spreads what was accepted, unless the node that had it accepted is gone before it has told anybody. The reads of
/// all nodes together do not grow with the fleet until the longest period is reached.
pub fn draw_head_interval(nodes: usize, rng: &mut impl Rng) -> Duration {
    let nodes = u32::try_from(nodes.max(1)).unwrap_or(u32::MAX);
    let period = FLEET_READ_PERIOD.saturating_mul(nodes).min(MAX_NODE_PERIOD);
    period.mul_f64(rng.random_range(PERIOD_FRACTION))
}
