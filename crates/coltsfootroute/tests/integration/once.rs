//! At-most-once execution: scenarios, fuzz and single decisions.

mod decisions;
mod fuzz;
mod scenarios;
