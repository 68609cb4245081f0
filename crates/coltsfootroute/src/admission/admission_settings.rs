//! Settings of an admission gate.

use std::time::Duration;

use super::{QueueOrder, ShedPolicy};

/// Default bound on the wait in the queue.
const MAX_QUEUE_DELAY: Duration = Duration::from_millis(400);
/// Default bound on the wait of a call that joins while a queue stands.
const OVERLOAD_QUEUE_DELAY: Duration = Duration::from_millis(100);
/// Default time for which a queue has to stand until the gate counts as overloaded.
const OVERLOAD_INTERVAL: Duration = Duration::from_millis(500);
/// Default places in the queue for each slot.
const QUEUE_PER_SLOT: u32 = 8;

value_type! {
    /// How a gate limits, queues and refuses.
    pub struct AdmissionSettings {
        /// Calls that the upstream can work on at a time; at least 1.
        pub slots: u32,
        /// Slots of each hundred that stay free, below 100.
        pub free_percent: u32,
        /// Calls that may wait.
        pub queue_length: u32,
        /// Longest wait in the queue; a call that has waited as long is refused.
        pub max_queue_delay: Duration,
        /// Longest wait of a client's own call that joins while the gate is overloaded.
        pub overload_queue_delay: Duration,
        /// How long a queue has to stand until the gate counts as overloaded.
        pub overload_interval: Duration,
        /// Order of service within one importance and client.
        pub queue_order: QueueOrder,
        /// What the shed level follows.
        pub shed_policy: ShedPolicy,
    }
}

impl AdmissionSettings {
    /// Default settings for an upstream with `slots` slots, at least 1.
    pub fn new(slots: u32) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            free_percent: 0,
            queue_length: slots.saturating_mul(QUEUE_PER_SLOT),
            max_queue_delay: MAX_QUEUE_DELAY,
            overload_queue_delay: OVERLOAD_QUEUE_DELAY,
            overload_interval: OVERLOAD_INTERVAL,
            queue_order: QueueOrder::default(),
            shed_policy: ShedPolicy::default(),
        }
    }

    /// Sets how many slots of each hundred stay free: upstreams that slow down when they are nearly full give
    /// back less with all of them in use.
    pub fn with_free_percent(self, free_percent: u32) -> Self {
        Self { free_percent: free_percent.min(99), ..self }
    }

    /// Slots that may be in use, at least 1.
    pub fn usable_slots(&self) -> u32 {
        let usable = u64::from(self.slots) * u64::from(100 - self.free_percent) / 100;
        u32::try_from(usable).unwrap_or(u32::MAX).max(1)
    }

    /// Sets how many calls may wait.
    pub fn with_queue_length(self, queue_length: u32) -> Self {
        Self { queue_length, ..self }
    }

    /// Sets the longest wait; the wait under overload never exceeds it.
    pub fn with_max_queue_delay(self, max_queue_delay: Duration) -> Self {
        let overload_queue_delay = self.overload_queue_delay.min(max_queue_delay);
        Self { max_queue_delay, overload_queue_delay, ..self }
    }

    /// Sets the longest wait of a call that joins while the gate is overloaded.
    pub fn with_overload_queue_delay(self, overload_queue_delay: Duration) -> Self {
        Self { overload_queue_delay, ..self }
    }

    /// Sets how long a queue has to stand until the gate counts as overloaded.
    pub fn with_overload_interval(self, overload_interval: Duration) -> Self {
        Self { overload_interval, ..self }
    }

    /// Sets what the shed level follows.
    pub fn with_shed_policy(self, shed_policy: ShedPolicy) -> Self {
        Self { shed_policy, ..self }
    }

    /// Sets the order of service within one importance and client.
    pub fn with_queue_order(self, queue_order: QueueOrder) -> Self {
        Self { queue_order, ..self }
    }
}
