//! The protocol between nodes: Cap'n Proto schemas, their committed generated code, and conversions to
//! and from domain types. Regenerate with `scripts/generate`.

mod address;
mod wire_error;

pub mod gossip;
pub mod peer;

/// Generated from `schema/gossip.capnp`.
#[allow(missing_docs, unsafe_code, unused_qualifications, clippy::all)]
#[path = "generated/gossip_capnp.rs"]
pub mod gossip_capnp;

/// Generated from `schema/peer.capnp`.
#[allow(missing_docs, unsafe_code, unused_qualifications, clippy::all)]
#[path = "generated/peer_capnp.rs"]
pub mod peer_capnp;

pub use address::{read_address, write_address};
pub use wire_error::WireError;
