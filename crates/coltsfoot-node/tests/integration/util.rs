//! Fixtures shared by the tests.

pub mod caller;
pub mod claim_driver;
pub mod condition;
pub mod fake_peer;
pub mod http_call;
pub mod load_loop;
pub mod node_metrics;
pub mod raw_peer;
pub mod solo_node;
pub mod store_fixture;
pub mod stub_upstream;
pub mod test_node;
pub mod world;
