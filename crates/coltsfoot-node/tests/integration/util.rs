//! Fixtures shared by the tests.

pub mod claim_driver;
pub mod node_metrics;
pub mod store_fixture;
