//! Tests of membership: merge order, scripted scenarios, and a fuzz test against an oracle.

mod bytes;
mod fuzz;
mod instances;
mod introduction;
mod merge;
pub mod network;
mod resume;
mod scenario;
mod start;
