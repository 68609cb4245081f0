//! Fixtures shared by the tests.

pub mod caller;
pub mod claim_driver;
pub mod load_loop;
pub mod raw_peer;
pub mod store_fixture;
pub mod stub_upstream;
pub mod test_node;
pub mod world;
