//! Integration tests of the node's parts.

mod store;
mod util;
