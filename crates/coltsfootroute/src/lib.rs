//! Coordination logic of an overload control layer for service call graphs.
//!
//! This crate makes every decision of the system without I/O: time is passed in as a [`time::MonotonicTime`],
//! randomness comes from a seeded generator, and effects are returned as typed values that the embedding process
//! executes. Data flows one way: call → classify → admit → route → dispatch → account.

#[macro_use]
mod macros;

pub mod admission;
pub mod constants;
pub mod deadline;
pub mod drain;
pub mod event;
pub mod freshness;
pub mod id;
pub mod importance;
pub mod membership;
pub mod memory;
pub mod name;
pub mod once;
pub mod outcome;
pub mod quarantine;
pub mod quota;
pub mod retry;
pub mod revision;
pub mod routing;
pub mod schema;
pub mod table;
pub mod team;
pub mod time;
pub mod upstream_limit;
