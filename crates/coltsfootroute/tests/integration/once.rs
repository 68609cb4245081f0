//! Tests of at-most-once execution: scenarios, a stateful fuzz test and single decisions.

mod decisions;
mod fuzz;
mod scenarios;
