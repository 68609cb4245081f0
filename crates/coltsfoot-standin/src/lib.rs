//! Stand-ins for the platform and its clients, for development and tests only.

pub mod objects;
pub mod table;
