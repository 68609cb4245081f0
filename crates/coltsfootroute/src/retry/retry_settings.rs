//! Settings of the retry policy.

use std::time::Duration;

record_type! {
    /// Settings of a [`RetryPolicy`](super::RetryPolicy).
    pub struct RetrySettings {
        /// Upper end of the first backoff; doubles with each attempt.
        pub first_backoff: Duration,
        /// Upper end of the longest backoff.
        pub longest_backoff: Duration,
        /// Most attempts of one call, the first included, that no upstream has rejected; at least 1.
        pub most_attempts: u32,
        /// Most attempts of one call, rejected ones included; at least 1.
        pub most_sends: u32,
    }
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            first_backoff: Duration::from_millis(10),
            longest_backoff: Duration::from_millis(250),
            most_attempts: 3,
            most_sends: 6,
        }
    }
}
