//! Integration tests of the node.

mod args;
mod journal;
mod metrics;
mod scenarios;
mod settings;
mod store;
mod store_claims;
mod util;
