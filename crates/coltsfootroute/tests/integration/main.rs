//! Integration tests of the library, one module per subject.

mod admission;
mod deadline;
mod drain;
mod event;
mod freshness;
mod membership;
mod memory;
mod once;
mod quarantine;
mod quota;
mod retry;
mod revision;
mod route_table;
mod routing;
mod schema;
mod store_policy;
mod suspension;
mod team;
mod upstream_limit;
mod util;
