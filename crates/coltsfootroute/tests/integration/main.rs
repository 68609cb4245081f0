//! Tests of the library, one file for each subject.

mod once;
mod store_policy;
mod util;
