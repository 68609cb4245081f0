//! Membership: merge order, scripted scenarios, fuzz against an oracle.

mod bytes;
mod fuzz;
mod merge;
mod network;
mod scenario;
