//! Membership: merge order, scripted scenarios, fuzz against an oracle.

mod fuzz;
mod merge;
mod network;
mod scenario;
