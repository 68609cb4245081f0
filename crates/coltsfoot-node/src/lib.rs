//! The daemon of an upstream host.

pub mod store;
