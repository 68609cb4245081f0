//! Tests of the library with a driven clock, one file for each subject.

mod deadline;
mod drain;
mod event;
mod once;
mod revision;
mod retry;
mod routing;
mod schema;
mod store_policy;
mod util;
//! Integration tests of the library.

mod membership;
mod admission;
