//! How old a node's knowledge of the newest configuration may be.
//!
//! A key that was taken away must run nothing some seconds later, also at a node that hears of no change any more. So a
//! node needs proof that its configuration was the newest at some moment, and takes no keyed work once that is too long
//! ago. Proofs are stated in the time of the store's clock, which means the same at every node and however long a message
//! was held up on its way.

mod config_freshness;
mod revision_proof;
mod store_clock;
mod store_time;

pub use config_freshness::ConfigFreshness;
pub use revision_proof::RevisionProof;
pub use store_clock::StoreClock;
pub use store_time::StoreTime;
