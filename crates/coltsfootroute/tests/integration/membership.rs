//! Membership: merge order, scripted scenarios, fuzz against an oracle.

mod bytes;
mod fuzz;
mod instances;
mod introduction;
mod merge;
pub mod network;
mod resume;
mod scenario;
mod start;
