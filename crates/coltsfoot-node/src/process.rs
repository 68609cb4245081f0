//! The whole node: its threads, started in order and stopped without interrupting a request.

mod drain_switch;
mod node_error;
mod node_process;

pub use drain_switch::DrainSwitch;
pub use node_error::NodeError;
pub use node_process::{NodeAddresses, NodeProcess};
