//! Time until a revision is in force everywhere.

use std::time::Duration;

use anyhow::Context as _;

use super::{
    gossip::{GROUP, WATCHED, started},
    note,
};
use crate::report::MeasuredSlope;

const REVISION: u64 = 1;
const LONGEST: Duration = Duration::from_secs(120);
const POLL: Duration = Duration::from_millis(100);

/// By the number of nodes: all of them, and 99 in 100.
pub fn by_nodes() -> anyhow::Result<Vec<MeasuredSlope>> {
    let label = "log2 of the number of nodes";
    let mut all = MeasuredSlope::new("spread-all", label, "seconds until in force at all nodes");
    let mut most = MeasuredSlope::new("spread-most", label, "seconds until at 99 % of the nodes");
    for nodes in [200_usize, 800, 3_200, 12_800] {
        let mut mesh = started(nodes.div_ceil(GROUP), GROUP, WATCHED)?;
        let count = mesh.len();
        mesh.put_in_force(0, REVISION);
        let begin = mesh.now();
        let mut most_after = None;
        while mesh.in_force(REVISION) < count {
            if mesh.in_force(REVISION) * 100 >= count * 99 {
                most_after.get_or_insert(mesh.now().since(begin));
            }
            let in_time = mesh.now().since(begin) < LONGEST;
            in_time.then_some(()).context("the revision did not reach all nodes")?;
            mesh.run(POLL);
        }
        let x = (count as f64).log2();
        let took = mesh.now().since(begin);
        note(&all.name, count as f64, took.as_secs_f64());
        all.push(x, took.as_secs_f64());
        most.push(x, most_after.unwrap_or(took).as_secs_f64());
    }
    Ok(vec![all, most])
}
