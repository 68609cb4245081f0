//! Retry policy for requests to the table service.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::{TableReply, TableRequest};

record_type! {
    /// Bounded retries with a jittered exponential backoff. A write without a reply is never retried here, because only
    /// the state machine that issued it knows how to read back its effect.
    pub struct StoreBackoff {
        /// Maximum number of attempts, including the first; at least 1.
        pub max_attempts: u32,
        /// Upper bound of the pause before the second attempt; doubles with each further attempt.
        pub initial_pause: Duration,
        /// Upper bound of any pause.
        pub max_pause: Duration,
    }
}

impl Default for StoreBackoff {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            initial_pause: Duration::from_millis(20),
            max_pause: Duration::from_millis(500),
        }
    }
}

impl StoreBackoff {
    /// Returns the pause before `request` is retried after attempt number `attempt`, counted from 1, received `reply`.
    /// `None` if it must not be retried.
    pub fn pause(
        &self,
        request: &TableRequest,
        reply: &TableReply,
        attempt: u32,
        rng: &mut impl Rng,
    ) -> Option<Duration> {
        if attempt >= self.max_attempts || !is_safe(request, reply) {
            return None;
        }
        let doublings = (attempt - 1).min(16);
        let max_pause = (self.initial_pause * (1 << doublings)).min(self.max_pause);
        Some(max_pause.mul_f64(rng.random_range(0.0..=1.0)))
    }
}

/// Returns whether `reply` calls for a retry that cannot execute a write twice.
fn is_safe(request: &TableRequest, reply: &TableReply) -> bool {
    match reply {
        TableReply::Unavailable => true,
        TableReply::Uncertain => !request.is_write(),
        TableReply::Rows(_) | TableReply::Committed | TableReply::Conflict(_) => false,
    }
}
