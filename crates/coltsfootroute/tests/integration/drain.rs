//! Tests of draining.

mod drain_fuzz;
mod scenarios;
