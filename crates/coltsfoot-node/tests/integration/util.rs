//! Fixtures shared by the tests.

pub mod store_fixture;
