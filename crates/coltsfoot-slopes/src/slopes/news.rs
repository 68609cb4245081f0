//! Time until a leave or a death is known to all whom it concerns.

use std::time::Duration;

use anyhow::ensure;

use super::{
    gossip::{GROUP, WATCHED, acquainted, roomy_settings, started},
    note,
};
use crate::{
    mesh::{GossipMesh, STEP},
    report::MeasuredSlope,
};

const TRIALS: u64 = 3;
/// Nodes that watch a group where their number is not what varies: five services of 37 call it.
const WATCHERS: usize = 185;
const LONGEST: Duration = Duration::from_secs(120);
const DEATH_POLL: Duration = Duration::from_millis(100);
const SETTLE_S: u64 = 10;

/// How a member goes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum End {
    Leave,
    Death,
}

/// A leave, by group size.
pub fn leave_by_group() -> anyhow::Result<Vec<MeasuredSlope>> {
    let slope = MeasuredSlope::new("leave-group", "members of the group", SECONDS);
    by_sizes(slope, End::Leave, [10, 37, 100, 200, 400].map(|size| (size, WATCHERS)), |(x, _)| x)
}

/// A leave, by watchers.
pub fn leave_by_watchers() -> anyhow::Result<Vec<MeasuredSlope>> {
    let slope = MeasuredSlope::new("leave-watchers", "nodes that watch the group", SECONDS);
    by_sizes(slope, End::Leave, [40, 80, 185, 370, 740].map(|count| (GROUP, count)), |(_, x)| x)
}

/// A death, by group size.
pub fn death_by_group() -> anyhow::Result<Vec<MeasuredSlope>> {
    let slope = MeasuredSlope::new("death-group", "members of the group", SECONDS);
    by_sizes(slope, End::Death, [10, 37, 100, 200, 400].map(|size| (size, WATCHERS)), |(x, _)| x)
}

const SECONDS: &str = "seconds until the last node knows (worst of 3)";

fn by_sizes(
    mut slope: MeasuredSlope,
    end: End,
    sizes: [(usize, usize); 5],
    x_of: impl Fn((usize, usize)) -> usize,
) -> anyhow::Result<Vec<MeasuredSlope>> {
    for (size, watchers) in sizes {
        let mut worst = Duration::ZERO;
        for trial in 0..TRIALS {
            let mesh = GossipMesh::new(roomy_settings(), trial).with_watchers(size, watchers);
            let mut mesh = acquainted(mesh)?;
            settle(&mut mesh);
            worst = worst.max(time_to_know(&mut mesh, &[0], end)?);
        }
        note(&slope.name, x_of((size, watchers)) as f64, worst.as_secs_f64());
        slope.push(x_of((size, watchers)) as f64, worst.as_secs_f64());
    }
    Ok(vec![slope])
}

/// Deaths at once of every n-th node of 1,480, as when a rack, a failure domain or a region goes.
pub fn deaths_at_once() -> anyhow::Result<Vec<MeasuredSlope>> {
    let label = "share of 1,480 nodes lost at once, percent";
    let mut slope = MeasuredSlope::new("rack", label, "seconds until the last node knows");
    // A rack of 40 in 18,000, a failure domain in 23, 1 in 10, a region of 3,000 in 18,000.
    for every in [450, 23, 10, 6] {
        let mut mesh = started(40, GROUP, WATCHED)?;
        settle(&mut mesh);
        let lost: Vec<_> = (0..mesh.len()).step_by(every).collect();
        let took = time_to_know(&mut mesh, &lost, End::Death)?;
        note(&slope.name, 100.0 / every as f64, took.as_secs_f64());
        slope.push(100.0 / every as f64, took.as_secs_f64());
    }
    Ok(vec![slope])
}

/// Time for the tokens of the start to gather again.
fn settle(mesh: &mut GossipMesh) {
    mesh.run(Duration::from_secs(SETTLE_S));
}

fn time_to_know(mesh: &mut GossipMesh, lost: &[usize], end: End) -> anyhow::Result<Duration> {
    for node in lost {
        match end {
            End::Leave => mesh.leave(*node),
            End::Death => mesh.kill(*node),
        }
    }
    let begin = mesh.now();
    let poll = if end == End::Leave { STEP } else { DEATH_POLL };
    let mut left = lost.to_vec();
    while !left.is_empty() {
        ensure!(mesh.now().since(begin) < LONGEST, "not all nodes came to know");
        mesh.run(poll);
        left.retain(|node| mesh.believers(*node) > 0);
    }
    Ok(mesh.now().since(begin))
}
