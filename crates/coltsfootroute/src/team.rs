//! Teams: who may call, how important a team's requests are, how many it may send.

mod key_digest;
mod request_ranks;
mod team_table;

pub use key_digest::KeyDigest;
pub use request_ranks::RequestRanks;
pub use team_table::TeamTable;
