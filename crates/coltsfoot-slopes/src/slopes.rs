//! The measurements.

mod configuration;
mod decisions;
mod gossip;
mod memory;
mod news;
mod spread;

use std::io::Write;

use anyhow::Context as _;

use crate::report::MeasuredSlope;

type Measurement = fn() -> anyhow::Result<Vec<MeasuredSlope>>;

/// Name, what it measures, how.
const MEASUREMENTS: [(&str, &str, Measurement); 16] = [
    ("gossip-nodes", "gossip against the number of nodes, groups of 37", gossip::by_nodes),
    ("start", "time until nodes started at once know each other", gossip::start_by_nodes),
    ("gossip-group", "gossip against the size of the groups", gossip::by_group),
    ("gossip-watched", "gossip against the services watched", gossip::by_watched),
    ("gossip-watched-cold", "the same, services not in use", gossip::by_watched_cold),
    ("gossip-restarts", "gossip against the restarts in a minute", gossip::by_restarts),
    ("leave-group", "time until a leave is known, by group size", news::leave_by_group),
    ("leave-watchers", "time until a leave is known, by watchers", news::leave_by_watchers),
    ("death-group", "time until a death is known, by group size", news::death_by_group),
    ("rack", "time until the deaths of part of the nodes are known", news::deaths_at_once),
    ("spread", "time until a revision is in force, by nodes", spread::by_nodes),
    ("config-schema", "configuration against the size of the schema", configuration::by_schema),
    ("config-changed", "delta against the services changed", configuration::by_changed),
    ("memory", "heap by members, accounts, claims, entries", memory::all),
    ("decisions", "processor time of each decision", decisions::all),
    ("decisions-schema", "looking an operation up, by schema size", decisions::by_schema),
];

/// Names of the measurements.
pub fn names() -> Vec<&'static str> {
    MEASUREMENTS.iter().map(|(name, ..)| *name).collect()
}

/// Name and subject of each measurement.
pub fn subjects() -> impl Iterator<Item = (&'static str, &'static str)> {
    MEASUREMENTS.iter().map(|(name, about, _)| (*name, *about))
}

/// Runs the measurement called `name`.
///
/// # Errors
///
/// If there is none, or it fails.
pub fn measure(name: &str) -> anyhow::Result<Vec<MeasuredSlope>> {
    let found = MEASUREMENTS.iter().find(|(known, ..)| *known == name);
    let (.., measure) = found.context("no such measurement")?;
    measure()
}

/// Tells of a point on the way: some measurements take minutes.
fn note(name: &str, x: f64, y: f64) {
    // Progress that can't be shown is no reason to stop.
    let _ = writeln!(std::io::stderr(), "{name}: {x}: {y:.3}");
}
