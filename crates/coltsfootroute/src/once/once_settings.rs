//! Settings of at-most-once execution.

use std::time::Duration;

record_type! {
    /// Bounds of an [`OnceGuard`](super::OnceGuard).
    pub struct OnceSettings {
        /// Largest number of claims in any stage (in progress, running, being stored or being released);
        /// at least 1. Further requests are refused before their claim is written, so that every claim can
        /// be kept in memory until it is settled.
        pub max_open_claims: usize,
        /// Largest answer kept in the record itself, in bytes; larger ones go to the object store.
        pub max_inline_bytes: usize,
        /// Longest time between a claim and its dispatch.
        pub max_ticket_age: Duration,
        /// Delay before a failed store task is retried.
        pub task_retry_delay: Duration,
        /// Longest time for which the answer to the caller waits until its record is stored.
        pub max_answer_wait: Duration,
    }
}

impl Default for OnceSettings {
    fn default() -> Self {
        Self {
            max_open_claims: 4_096,
            max_inline_bytes: 16 << 10,
            max_ticket_age: Duration::from_secs(1),
            task_retry_delay: Duration::from_millis(250),
            max_answer_wait: Duration::from_millis(50),
        }
    }
}
