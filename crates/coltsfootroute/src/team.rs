//! Teams: their keys, the importance of their requests, and their turns in a shared queue.

mod key_digest;
mod request_ranks;
mod team_table;

pub use key_digest::KeyDigest;
pub use request_ranks::RequestRanks;
pub use team_table::TeamTable;
