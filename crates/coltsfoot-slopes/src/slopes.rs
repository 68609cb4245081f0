//! The measurements.

mod configuration;
mod decisions;
mod gossip;
mod memory;
mod news;
mod spread;

use std::{fs, io::Write, path::Path};

use anyhow::Context as _;

use crate::{
    arguments::SlopeArguments,
    report::{MeasuredSlope, draw},
};

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

/// Runs the measurement asked for, or lists all.
///
/// # Errors
///
/// If the measurement fails, or its files can't be written.
pub fn run(arguments: &SlopeArguments, output: &mut impl Write) -> anyhow::Result<()> {
    for slope in slopes_of(arguments, output)? {
        write!(output, "{}", slope.to_lines())?;
        if let Some(directory) = &arguments.out {
            write_files(&slope, directory)?;
        }
    }
    Ok(())
}

fn slopes_of(
    arguments: &SlopeArguments,
    output: &mut impl Write,
) -> anyhow::Result<Vec<MeasuredSlope>> {
    if let Some(file) = &arguments.csv {
        let name = file.file_stem().context("a file name")?.to_string_lossy();
        let slope = MeasuredSlope::from_csv(&name, &fs::read_to_string(file)?);
        return Ok(vec![slope.context("not a table of points")?]);
    }
    let Some(wanted) = &arguments.name else {
        for (name, about, _) in MEASUREMENTS {
            writeln!(output, "{name}: {about}")?;
        }
        return Ok(Vec::new());
    };
    let found = MEASUREMENTS.iter().find(|(name, ..)| name == wanted);
    let (.., measure) = found.context("no such measurement")?;
    measure()
}

/// Tells of a point on the way: some measurements take minutes.
fn note(name: &str, x: f64, y: f64) {
    // Progress that can't be shown is no reason to stop.
    let _ = writeln!(std::io::stderr(), "{name}: {x}: {y:.3}");
}

fn write_files(slope: &MeasuredSlope, directory: &Path) -> anyhow::Result<()> {
    fs::create_dir_all(directory)?;
    fs::write(directory.join(format!("{}.csv", slope.name)), slope.to_csv())?;
    fs::write(directory.join(format!("{}.svg", slope.name)), draw(slope)?)?;
    Ok(())
}
