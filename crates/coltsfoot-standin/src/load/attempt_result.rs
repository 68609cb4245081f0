//! How one attempt ended.

use std::time::Duration;

use coltsfootroute::outcome::RefusalReason;

/// What the client saw of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptResult {
    /// A complete answer to this very request.
    Completed {
        /// Service time spent for it, microseconds.
        work_us: u64,
    },
    /// Refused; no part ran.
    NotRun {
        /// Why, where the body tells.
        reason: Option<RefusalReason>,
        /// What `retry-after` asks.
        retry_after: Option<Duration>,
    },
    /// The node says that it may have run.
    Unknown {
        /// Why, where the body tells.
        reason: Option<RefusalReason>,
        /// What `retry-after` asks.
        retry_after: Option<Duration>,
    },
    /// A failure that names no outcome.
    WithoutOutcome,
    /// Said to be completed, but not this request's answer, or not all of it.
    WrongAnswer,
    /// The connection ended before the whole answer was there.
    Interrupted,
    /// No answer within the deadline.
    TimedOut,
    /// Never sent: no target took a connection, or no connection was free in time.
    NotSent,
}

impl AttemptResult {
    /// Whether some part may have run.
    pub(super) fn may_have_run(self) -> bool {
        !matches!(self, Self::NotRun { .. } | Self::NotSent)
    }

    /// What `retry-after` asks.
    pub(super) fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NotRun { retry_after, .. } | Self::Unknown { retry_after, .. } => retry_after,
            _ => None,
        }
    }
}
