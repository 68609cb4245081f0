//! The node process: starts its threads in order, and stops them without interrupting a request.

mod drain_switch;
mod node_addresses;
mod node_error;
mod node_parts;
mod node_process;
mod node_sockets;

pub use drain_switch::DrainSwitch;
pub use node_addresses::NodeAddresses;
pub use node_error::NodeError;
pub use node_process::NodeProcess;
