//! Integration tests of the node.

mod args;
mod journal;
mod metrics;
mod settings;
//! Integration tests of the node's parts.

mod store;
mod util;
