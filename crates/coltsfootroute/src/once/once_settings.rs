//! Settings of at-most-once execution.

use std::time::Duration;

record_type! {
    /// Bounds of an [`OnceGuard`](super::OnceGuard).
    pub struct OnceSettings {
        /// Claims in any stage at once: being made, running, being stored or being released; at least 1.
        /// Further requests are refused before their claim is written, so that there is always room to
        /// remember a claim until it is settled.
        pub most_open: usize,
        /// Largest answer kept in the record itself, in bytes; larger ones go to the object store.
        pub most_inline: usize,
        /// Longest time from a claim to its dispatch.
        pub longest_ticket: Duration,
        /// Pause before a failed errand to the store is tried again.
        pub errand_pause: Duration,
        /// Longest time that an answer to the caller waits for its record.
        pub longest_answer_wait: Duration,
    }
}

impl Default for OnceSettings {
    fn default() -> Self {
        Self {
            most_open: 4_096,
            most_inline: 16 << 10,
            longest_ticket: Duration::from_secs(1),
            errand_pause: Duration::from_millis(250),
            longest_answer_wait: Duration::from_millis(50),
        }
    }
}
