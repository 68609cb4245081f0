//! Stand-ins for development: what a deployment finds on its platform and what its clients do.
//!
//! Nothing here is linked into the daemons.

pub mod arguments;
pub mod body_digest;
pub mod call_answer;
pub mod dropping_listener;
pub mod http_client;
pub mod load;
pub mod loopback;
pub mod objects;
pub mod slow_reader;
pub mod table;
pub mod termination;
pub mod upstream;
