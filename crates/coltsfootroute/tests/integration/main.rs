//! Tests of the library, one file for each subject.

mod event;
mod once;
mod schema;
mod store_policy;
mod util;
