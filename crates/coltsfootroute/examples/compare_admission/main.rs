//! Compares admission policies on a model of one upstream: prints a table for each scenario.
//!
//! `cargo run --release -p coltsfootroute --example compare_admission`

mod arrivals;
mod burst_headroom;
mod guard_choice;
mod model;
mod policy;
mod report;
mod scenario;

use std::io::{self, Write};

use policy::Policy;
use report::Summary;
use scenario::Scenario;

/// Seeds of the runs behind each row.
const SEEDS: [u64; 7] = [1, 2, 3, 4, 5, 6, 7];

fn main() -> io::Result<()> {
    let mut out = io::stdout().lock();
    for scenario in Scenario::ALL {
        writeln!(out, "\n### {}\n\n{}", scenario.title(), report::HEADER)?;
        for policy in Policy::ALL.into_iter().filter(|policy| policy.fits(scenario)) {
            let runs: Vec<_> = SEEDS.iter().map(|seed| policy.run(scenario, *seed)).collect();
            writeln!(out, "{}", Summary::new(policy.name(), &runs))?;
        }
    }
    Ok(())
}
