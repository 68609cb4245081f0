//! Integration tests of the wire formats.

mod gossip;
mod peer;
