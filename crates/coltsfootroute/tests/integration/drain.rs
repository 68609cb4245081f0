//! Leaving.

mod drain_fuzz;
mod scenarios;
