//! The RPCs of a node, as a client.

mod node_client;
mod rpc_answer;

pub use node_client::NodeClient;
pub use rpc_answer::RpcAnswer;
