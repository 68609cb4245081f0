//! Gossip datagrams: conversions between the wire and the engine's messages.

mod decode;
mod encode;
mod gossip_error;
mod name_table;

pub use decode::decode;
pub use encode::encode;
pub use gossip_error::GossipError;

/// Longest name of a service, failure domain or region on the wire, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Most names in one datagram.
const MAX_NAMES: usize = 128;
/// Most records in one datagram.
const MAX_UPDATES: usize = 64;
