//! The upstreams of a called service, and since when they are watched.

use coltsfootroute::{routing::UpstreamPool, time::MonotonicTime};

/// The upstreams of a called service.
pub struct ServicePool {
    /// The upstreams.
    pub pool: UpstreamPool,
    /// Since when this node watches the service.
    pub watched_since: MonotonicTime,
    /// When the service was last called.
    pub called: MonotonicTime,
    /// When the gossip duty was last told that the service is in use.
    pub(super) use_reported: MonotonicTime,
    /// When the gossip duty was last told that a call has reached a member.
    pub(super) reached_reported: Option<MonotonicTime>,
    /// When it was last told that a call has failed to.
    pub(super) unreached_reported: Option<MonotonicTime>,
}
