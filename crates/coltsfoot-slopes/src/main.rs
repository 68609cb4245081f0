//! Command `coltsfoot-slopes`.

use coltsfoot_slopes::{arguments::SlopeArguments, run::run};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;

/// Counts what is allocated; see `heap_meter`.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn main() -> anyhow::Result<()> {
    let matches = SlopeArguments::command().get_matches();
    let arguments = SlopeArguments::from_matches(&matches);
    run(&arguments, &mut std::io::stdout().lock())
}
