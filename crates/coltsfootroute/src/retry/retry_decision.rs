//! What to do about a failed attempt.

use std::time::Duration;

use super::GiveUpCause;

value_type! {
    /// What to do about a failed attempt.
    pub enum RetryDecision {
        /// Take a token from the request's account; if granted, retry after `backoff`.
        Retry {
            /// Jittered wait before the retry.
            backoff: Duration,
        },
        /// Do not retry.
        GiveUp(GiveUpCause),
    }
}
