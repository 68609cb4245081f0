//! Which requests to the table service are sent again, and when.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::{TableReply, TableRequest};

record_type! {
    /// Bounded, jittered retry. A write without an answer is never sent again from here: only the
    /// state machine that issued it knows how to read back its effect.
    pub struct StoreBackoff {
        /// Times a request is sent at the most; at least 1.
        pub max_attempts: u32,
        /// Longest pause before the second attempt; doubled with each further one.
        pub initial_pause: Duration,
        /// Longest pause at all.
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
    /// The pause before `request` is sent again after its attempt number `attempt` (from 1) gave
    /// `reply`; `None` where that reply stands.
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

/// Whether sending again can't carry out a write twice.
fn is_safe(request: &TableRequest, reply: &TableReply) -> bool {
    match reply {
        TableReply::Unavailable => true,
        TableReply::Uncertain => !request.is_write(),
        TableReply::Rows(_) | TableReply::Committed | TableReply::Conflict(_) => false,
    }
}
