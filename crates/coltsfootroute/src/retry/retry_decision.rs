//! Decision on a failed attempt.

use std::time::Duration;

use super::GiveUpCause;

value_type! {
    /// Decision on a failed attempt.
    pub enum RetryDecision {
        /// Acquire a token from the request's account and, if it is granted, retry after `backoff`.
        Retry {
            /// Jittered delay before the retry.
            backoff: Duration,
        },
        /// Do not retry.
        GiveUp(GiveUpCause),
    }
}
