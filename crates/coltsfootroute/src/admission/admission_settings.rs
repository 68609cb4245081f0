//! Settings of an admission gate.

use std::time::Duration;

use super::{LaneOrder, QueueOrder, ShedPolicy};

/// Default longest wait in the queue.
const MAX_QUEUE_DELAY: Duration = Duration::from_millis(400);
/// Default longest wait of a call that joins the queue while the gate is overloaded.
const OVERLOAD_QUEUE_DELAY: Duration = Duration::from_millis(100);
/// Default time for which the queue has to be non-empty until the gate counts as overloaded.
const OVERLOAD_INTERVAL: Duration = Duration::from_millis(500);
/// Default queue length for each slot.
const QUEUE_PER_SLOT: u32 = 8;

value_type! {
    /// Settings of an [`AdmissionGate`](super::AdmissionGate).
    pub struct AdmissionSettings {
        /// Number of calls that the upstream can process concurrently; at least 1.
        pub slots: u32,
        /// Percentage of the slots that stays free, below 100.
        pub free_percent: u32,
        /// Largest number of waiting calls.
        pub queue_length: u32,
        /// Longest wait in the queue, after which a call is refused.
        pub max_queue_delay: Duration,
        /// Longest wait of a call that is not nested and joins the queue while the gate is overloaded.
        pub overload_queue_delay: Duration,
        /// Time for which the queue has to be non-empty until the gate counts as overloaded.
        pub overload_interval: Duration,
        /// Service order among the calls of one client within one importance. Without effect where `lane_order` is
        /// [`LaneOrder::RequestAge`].
        pub queue_order: QueueOrder,
        /// Service order among the calls of one rank.
        pub lane_order: LaneOrder,
        /// Signal that determines the shed level.
        pub shed_policy: ShedPolicy,
    }
}

impl AdmissionSettings {
    /// Creates the default settings for an upstream with `slots` slots, at least 1.
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
            lane_order: LaneOrder::default(),
            shed_policy: ShedPolicy::default(),
        }
    }

    /// Sets the percentage of the slots that stays free. Upstreams that slow down when nearly full have a
    /// lower throughput with all slots in use.
    pub fn with_free_percent(self, free_percent: u32) -> Self {
        Self { free_percent: free_percent.min(99), ..self }
    }

    /// Returns the number of slots that may be in use, at least 1.
    pub fn usable_slots(&self) -> u32 {
        let usable = u64::from(self.slots) * u64::from(100 - self.free_percent) / 100;
        u32::try_from(usable).unwrap_or(u32::MAX).max(1)
    }

    /// Sets the largest number of waiting calls.
    pub fn with_queue_length(self, queue_length: u32) -> Self {
        Self { queue_length, ..self }
    }

    /// Sets the longest wait, and lowers the longest wait under overload to it if that is longer.
    pub fn with_max_queue_delay(self, max_queue_delay: Duration) -> Self {
        let overload_queue_delay = self.overload_queue_delay.min(max_queue_delay);
        Self { max_queue_delay, overload_queue_delay, ..self }
    }

    /// Sets the longest wait of a call that is not nested and joins the queue while the gate is overloaded.
    pub fn with_overload_queue_delay(self, overload_queue_delay: Duration) -> Self {
        Self { overload_queue_delay, ..self }
    }

    /// Sets the time for which the queue has to be non-empty until the gate counts as overloaded.
    pub fn with_overload_interval(self, overload_interval: Duration) -> Self {
        Self { overload_interval, ..self }
    }

    /// Sets the signal that determines the shed level.
    pub fn with_shed_policy(self, shed_policy: ShedPolicy) -> Self {
        Self { shed_policy, ..self }
    }

    /// Sets the service order among the calls of one client within one importance; without effect where the order is by
    /// [`LaneOrder::RequestAge`].
    pub fn with_queue_order(self, queue_order: QueueOrder) -> Self {
        Self { queue_order, ..self }
    }

    /// Sets the service order among the calls of one rank.
    pub fn with_lane_order(self, lane_order: LaneOrder) -> Self {
        Self { lane_order, ..self }
    }
}
