//! The daemon of an upstream host: takes calls in, routes them, guards the upstream beside it, and
//! keeps membership and configuration together with the other nodes.

pub mod args;
pub mod border;
pub mod clock;
pub mod config;
pub mod dispatch;
pub mod gossip;
pub mod http;
pub mod journal;
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
