//! The upstreams of a called service, with the times of its use and its reports.

use coltsfootroute::{routing::UpstreamPool, time::MonotonicTime};

/// The upstreams of a called service.
pub struct ServicePool {
    /// The upstreams.
    pub pool: UpstreamPool,
    /// Time since which this node has watched the service.
    pub watched_since: MonotonicTime,
    /// Time at which the service was last called.
    pub called: MonotonicTime,
    /// Time of the last report to the gossip duty that the service is in use.
    pub(super) use_reported: MonotonicTime,
    /// Time of the last report to the gossip duty that a call reached a member.
    pub(super) reached_reported: Option<MonotonicTime>,
    /// Time of the last report to the gossip duty that a call failed to reach a member.
    pub(super) unreached_reported: Option<MonotonicTime>,
}
