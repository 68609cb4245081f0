//! Coordination parts of an overload control layer for service call graphs.
//!
//! Every decision of the system lives here, without I/O: time comes in as a [`time::MonotonicTime`],
//! randomness from a seeded generator, and effects go out as typed values that the embedding process
//! carries out. Data flows one way: call → classify → admit → route → dispatch → account.

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
