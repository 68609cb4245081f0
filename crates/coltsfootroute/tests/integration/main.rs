//! Tests of the library, one file for each subject.

mod revision;
mod event;
mod once;
mod schema;
mod store_policy;
mod util;
