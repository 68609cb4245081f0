//! Fixtures shared by the tests.

pub mod claim_driver;
pub mod fake_peer;
pub mod http_call;
pub mod node_metrics;
pub mod store_fixture;
pub mod test_node;
