//! How a client request ended, over all its attempts.

use std::time::Duration;

use coltsfootroute::outcome::CallOutcome;
use tokio::time::Instant;

use super::attempt_result::AttemptResult;

/// A finished request.
#[derive(Clone, Debug)]
pub(super) struct RequestOutcome {
    /// Position of its operation.
    pub(super) operation: usize,
    /// Idempotency key, where it had one.
    pub(super) key: Option<String>,
    /// When it was due.
    pub(super) due: Instant,
    /// From the time it was due to its end.
    pub(super) latency: Duration,
    /// Each attempt's result, in order.
    pub(super) attempts: Vec<AttemptResult>,
}

impl RequestOutcome {
    /// What the client knows: completed if an attempt was, not run if none can have run.
    pub(super) fn outcome(&self) -> CallOutcome {
        if self.attempts.iter().any(|result| matches!(result, AttemptResult::Completed { .. })) {
            return CallOutcome::Completed;
        }
        if self.attempts.iter().any(|result| result.may_have_run()) {
            return CallOutcome::Unknown;
        }
        CallOutcome::NotRun
    }
}
