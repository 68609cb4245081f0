//! The daemon of an upstream host.

pub mod args;
pub mod settings;
