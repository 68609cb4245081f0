//! The gossip duty: a thread that owns the membership engine and its UDP socket.

mod gossip_command;
mod gossip_thread;

pub use gossip_command::GossipCommand;
pub use gossip_thread::{GossipParts, GossipThread};
