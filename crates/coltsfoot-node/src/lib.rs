//! Daemon of an upstream host: accepts and routes calls, protects the upstream on its host from overload, and maintains
//! membership and configuration together with the other nodes.

pub mod answers;
pub mod args;
pub mod border;
pub mod clock;
pub mod config;
pub mod dispatch;
pub mod gossip;
pub mod http;
pub mod journal;
pub mod memory;
pub mod metrics;
pub mod process;
pub mod settings;
pub mod store;

mod allocator;
mod node_launch;
mod run;
mod settings_watch;

pub use node_launch::{DefaultLaunch, NodeLaunch};
pub use run::run;
