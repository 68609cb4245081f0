//! Bytes and processor time of gossip.

use std::time::Duration;

use anyhow::ensure;
use coltsfootroute::membership::GossipSettings;

use super::note;
use crate::{mesh::GossipMesh, processor_clock::timed, report::MeasuredSlope};

/// Members of a group at the size that the page works out.
pub const GROUP: usize = 37;
/// Services that a node calls, assumed where it is not what varies.
pub const WATCHED: usize = 5;
const SEED: u64 = 1;
/// Longest time until all nodes know each other.
const LONGEST_START: Duration = Duration::from_secs(600);
/// Bytes a second and node for control, of which gossip may take a part.
const CONTROL_BYTES_PER_S: u64 = 4_000;
const BURST_BYTES: u64 = 16_000;
/// Time that the burst of the start takes to be over.
const SETTLE_S: u64 = 10;
/// A service not touched for so long is cold, with a margin.
const COLD_S: u64 = 45;
const MEASURE_S: u64 = 20;
const RESTART_MEASURE_S: u64 = 60;

/// Against the number of nodes.
pub fn by_nodes() -> anyhow::Result<Vec<MeasuredSlope>> {
    let mut meter = GossipMeter::new("gossip-nodes", "nodes");
    for groups in [10, 20, 40, 80, 160] {
        let mesh = started(groups, GROUP, WATCHED)?;
        meter.measure(mesh, (groups * GROUP) as f64, true)?;
    }
    Ok(meter.slopes())
}

/// Time until all know each other when all start at once, with the bytes of the defaults.
pub fn start_by_nodes() -> anyhow::Result<Vec<MeasuredSlope>> {
    let y = "seconds until all know all they should";
    let mut slope = MeasuredSlope::new("start", "nodes started at once", y);
    for groups in [2, 6, 10, 20, 40] {
        let mesh = GossipMesh::new(GossipSettings::new(), SEED);
        let mesh = mesh.with_groups(groups, GROUP, WATCHED);
        let begin = mesh.now();
        let mesh = converged(mesh)?;
        let seconds = mesh.now().since(begin).as_secs_f64();
        note(&slope.name, (groups * GROUP) as f64, seconds);
        slope.push((groups * GROUP) as f64, seconds);
    }
    Ok(vec![slope])
}

/// Against the size of the groups; each node watches three of the same size.
pub fn by_group() -> anyhow::Result<Vec<MeasuredSlope>> {
    let mut meter = GossipMeter::new("gossip-group", "members of a group");
    for size in [10, 37, 100, 200, 400] {
        meter.measure(started(4, size, 3)?, size as f64, true)?;
    }
    Ok(meter.slopes())
}

/// Against the services watched and in use.
pub fn by_watched() -> anyhow::Result<Vec<MeasuredSlope>> {
    watched("gossip-watched", true)
}

/// Against the services watched and not in use.
pub fn by_watched_cold() -> anyhow::Result<Vec<MeasuredSlope>> {
    watched("gossip-watched-cold", false)
}

fn watched(name: &str, is_used: bool) -> anyhow::Result<Vec<MeasuredSlope>> {
    let mut meter = GossipMeter::new(name, "services watched");
    for watched in [0, 2, 5, 10, 20, 39] {
        meter.measure(started(40, GROUP, watched)?, watched as f64, is_used)?;
    }
    Ok(meter.slopes())
}

/// Against the restarts in a minute over 740 nodes.
pub fn by_restarts() -> anyhow::Result<Vec<MeasuredSlope>> {
    let mut meter = GossipMeter::new("gossip-restarts", "restarts a minute of 740 nodes");
    for restarts in [0, 6, 12, 30, 60] {
        let mut mesh = started(20, GROUP, WATCHED)?;
        settle(&mut mesh, true);
        let (before, begin) = (mesh.traffic(), mesh.now());
        let (_, used) = timed(|| restart_some(&mut mesh, restarts))?;
        let seconds = mesh.now().since(begin).as_secs_f64();
        let bytes = mesh.traffic().since(before).bytes as f64;
        let node_seconds = mesh.len() as f64 * seconds;
        meter.push(restarts as f64, bytes / node_seconds, used.div_f64(node_seconds));
    }
    Ok(meter.slopes())
}

/// A planned restart each so often: leave, notice, new life.
fn restart_some(mesh: &mut GossipMesh, restarts: u64) {
    let mut leaving = None;
    for second in 0..RESTART_MEASURE_S {
        mesh.touch_all();
        if let Some(node) = leaving.take() {
            mesh.kill(node);
            mesh.restart(node);
        }
        if second * restarts % RESTART_MEASURE_S < restarts {
            let node = mesh.random_node();
            mesh.leave(node);
            leaving = Some(node);
        }
        mesh.run(Duration::from_secs(1));
    }
}

/// A mesh whose nodes all know each other.
pub fn started(groups: usize, size: usize, watched: usize) -> anyhow::Result<GossipMesh> {
    acquainted(GossipMesh::new(roomy_settings(), SEED).with_groups(groups, size, watched))
}

/// With the bytes of the whole control traffic, so that what is wanted is seen and not the bound.
pub fn roomy_settings() -> GossipSettings {
    GossipSettings::new().with_bandwidth(CONTROL_BYTES_PER_S, BURST_BYTES)
}

/// As after a long run: all nodes are told of each other, and go on until they agree.
pub fn acquainted(mut mesh: GossipMesh) -> anyhow::Result<GossipMesh> {
    mesh.acquaint();
    mesh.run(Duration::from_secs(SETTLE_S));
    converged(mesh)
}

/// Runs until all nodes know each other. Nothing is in use meanwhile.
fn converged(mut mesh: GossipMesh) -> anyhow::Result<GossipMesh> {
    let limit = mesh.now() + LONGEST_START;
    while !mesh.is_converged() {
        ensure!(mesh.now() < limit, "{} nodes did not come to know each other", mesh.len());
        mesh.run(Duration::from_secs(1));
    }
    Ok(mesh)
}

fn settle(mesh: &mut GossipMesh, is_used: bool) {
    for _ in 0..if is_used { SETTLE_S } else { COLD_S } {
        pass_second(mesh, is_used);
    }
}

fn pass_second(mesh: &mut GossipMesh, is_used: bool) {
    if is_used {
        mesh.touch_all();
    }
    mesh.run(Duration::from_secs(1));
}

/// Gathers bytes and processor time for each node and second.
struct GossipMeter {
    bytes: MeasuredSlope,
    time: MeasuredSlope,
}

impl GossipMeter {
    fn new(name: &str, x_label: &str) -> Self {
        let bytes = MeasuredSlope::new(&format!("{name}-bytes"), x_label, "bytes sent/s and node");
        let time = MeasuredSlope::new(&format!("{name}-time"), x_label, "processor us/s and node");
        Self { bytes, time }
    }

    fn measure(&mut self, mut mesh: GossipMesh, x: f64, is_used: bool) -> anyhow::Result<()> {
        settle(&mut mesh, is_used);
        let before = mesh.traffic();
        let (_, used) = timed(|| {
            for _ in 0..MEASURE_S {
                pass_second(&mut mesh, is_used);
            }
        })?;
        let node_seconds = mesh.len() as f64 * MEASURE_S as f64;
        let bytes = mesh.traffic().since(before).bytes as f64;
        self.push(x, bytes / node_seconds, used.div_f64(node_seconds));
        Ok(())
    }

    fn push(&mut self, x: f64, bytes: f64, used: Duration) {
        note(&self.bytes.name, x, bytes);
        self.bytes.push(x, bytes);
        self.time.push(x, used.as_secs_f64() * 1e6);
    }

    fn slopes(self) -> Vec<MeasuredSlope> {
        vec![self.bytes, self.time]
    }
}
