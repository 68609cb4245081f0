//! Settings of the retry policy.

use std::time::Duration;

record_type! {
    /// Settings of a [`RetryPolicy`](super::RetryPolicy).
    pub struct RetrySettings {
        /// Upper bound of the first backoff; doubles with each attempt.
        pub initial_backoff: Duration,
        /// Maximum upper bound of a backoff.
        pub max_backoff: Duration,
        /// Maximum number of attempts of one call, including the first but not those that an upstream rejected; at
        /// least 1.
        pub max_attempts: u32,
        /// Maximum number of attempts of one call, including rejected ones; at least 1.
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
