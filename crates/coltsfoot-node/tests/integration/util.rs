//! Fixtures shared by the tests.

pub mod claim_driver;
pub mod store_fixture;
