//! Fixtures shared by the tests.

pub mod once_world;
