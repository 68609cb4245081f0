//! What an upstream states about itself in the head of an answer.

use coltsfootroute::upstream_limit::RequestRate;

/// What an upstream states about itself in the head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamStatement {
    /// Limit on the requests that it accepts.
    pub limit: StatedLimit,
    /// Whether it is leaving and accepts no new work.
    pub is_leaving: bool,
}

/// Limit in the head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatedLimit {
    /// The head names no limit.
    Absent,
    /// The limit, over all callers together.
    Rate(RequestRate),
    /// The head names a limit that is no rate.
    Unreadable(String),
}
