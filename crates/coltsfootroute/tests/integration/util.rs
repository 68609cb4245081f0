//! Fixtures shared by the tests.

pub mod fuzz_config;
pub mod once_world;
