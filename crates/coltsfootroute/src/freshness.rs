//! How old a node's knowledge of the newest configuration may be.
//!
//! A change must be in force some seconds after it was accepted, and a node that waits to be told of changes can't tell
//! silence_connections from rest: connections go silent for good, and a store may have swallowed a question. So no question stays open
//! for long ([`FeedTimeout`]), nor where others have heard more ([`FeedMonitor`]).
//!
//! A key that was taken away must run nothing some seconds later, also at a node that hears of no change any more. So a
//! node needs proof that its configuration was the newest at some moment, and takes no keyed work once that is too long
//! ago. Proofs are stated in the time of the store's clock, which means the same at every node and however long a message
//! was held up on its way.

mod config_freshness;
mod feed_monitor;
mod feed_timeout;
mod head_interval;
mod revision_proof;
mod store_clock;
mod store_time;

pub use config_freshness::ConfigFreshness;
pub use feed_monitor::FeedMonitor;
pub use feed_timeout::FeedTimeout;
pub use head_interval::draw_head_interval;
pub use revision_proof::RevisionProof;
pub use store_clock::StoreClock;
pub use store_time::StoreTime;
