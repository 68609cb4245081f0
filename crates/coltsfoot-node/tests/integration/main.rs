//! Integration tests of the node's parts.

mod store;
mod store_claims;
mod util;
