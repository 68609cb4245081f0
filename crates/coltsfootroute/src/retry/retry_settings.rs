//! Settings of the retry policy.

use std::time::Duration;

record_type! {
    /// Settings of a [`RetryPolicy`](super::RetryPolicy).
    pub struct RetrySettings {
        /// Upper end of the first backoff; doubles with each attempt.
        pub initial_backoff: Duration,
        /// Upper end of the longest backoff.
        pub max_backoff: Duration,
        /// Most attempts of one call, the first included, that no upstream has rejected; at least 1.
        pub max_attempts: u32,
        /// Most attempts of one call, rejected ones included; at least 1.
        pub max_sends: u32,
    }
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            initial_backoff: Duration::from_millis(10),
            max_backoff: Duration::from_millis(250),
            max_attempts: 3,
            max_sends: 6,
        }
    }
}
