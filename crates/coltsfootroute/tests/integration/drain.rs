//! Tests of draining.

mod drain_fuzz;
mod scenarios;
mod unsent_answers;
