//! Bounds on the age of a node's knowledge of the newest configuration.
//!
//! A change must be in force some seconds after it was accepted, and a node that long-polls for changes can't
//! distinguish a broken poll from a time without changes: connections can fail silently, and a store may have dropped a
//! poll. So every poll has a short timeout ([`FeedTimeout`]), and ends early if other nodes have received a newer
//! revision ([`FeedMonitor`]).
//!
//! A revoked key must run no request some seconds later, even at a node that receives no changes any more. So a node
//! needs proof that its configuration was the newest at some time, and accepts no requests with keys once that time is
//! too long ago. Proofs contain the time of the store's clock, which has the same meaning at every node, however long a
//! message was delayed.

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
