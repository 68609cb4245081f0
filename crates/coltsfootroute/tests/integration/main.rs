//! Tests of the library, one file for each subject.

mod event;
mod schema;
mod once;
mod store_policy;
mod util;
