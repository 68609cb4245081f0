//! The daemon of an upstream host.

pub mod args;
pub mod journal;
pub mod metrics;
pub mod settings;
