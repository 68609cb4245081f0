//! Rate limit for the control traffic of a node.

use super::SendPriority;
use crate::time::MonotonicTime;

/// Shares of the burst, in percent, that low and normal sends leave for those of higher priority.
const LOW_RESERVE_PERCENT: u64 = 50;
const NORMAL_RESERVE_PERCENT: u64 = 20;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Token bucket in bytes. At most `burst + rate * t` bytes are sent in any period of `t` seconds; once, after the
/// start, the initial content takes the place of `burst`.
#[derive(Clone, Debug)]
pub struct BandwidthBudget {
    /// Refill rate, in bytes per second.
    rate: u64,
    /// Maximum number of bytes that accumulate.
    burst: u64,
    /// Bytes that may be sent now. Invariant: at most `burst`, or the rest of the initial content.
    available: u64,
    refilled_at: MonotonicTime,
}

impl BandwidthBudget {
    /// Creates a full bucket of `burst` bytes that gains `rate` bytes per second.
    pub fn new(rate: u64, burst: u64, now: MonotonicTime) -> Self {
        Self { rate, burst, available: burst, refilled_at: now }
    }

    /// Acquires `bytes` for a send of `priority`. Returns false if too few bytes are available above the reserve for
    /// higher priorities.
    pub fn try_acquire(&mut self, now: MonotonicTime, priority: SendPriority, bytes: u64) -> bool {
        self.refill(now);
        let reserve = self.burst * reserve_percent(priority) / 100;
        if self.available < bytes + reserve {
            return false;
        }
        self.available -= bytes;
        true
    }

    /// Raises the initial content to `bytes`, if it is lower.
    pub fn with_initial_bytes(self, bytes: u64) -> Self {
        Self { available: self.available.max(bytes), ..self }
    }

    /// Returns the number of bytes that may be sent now.
    pub fn available(&self) -> u64 {
        self.available
    }

    fn refill(&mut self, now: MonotonicTime) {
        let elapsed = now.0.saturating_sub(self.refilled_at.0);
        let gained = elapsed.saturating_mul(self.rate) / MICROS_PER_SECOND;
        if gained == 0 {
            return;
        }
        let refilled = self.burst.min(self.available.saturating_add(gained));
        self.available = self.available.max(refilled);
        self.refilled_at = now;
    }
}

fn reserve_percent(priority: SendPriority) -> u64 {
    match priority {
        SendPriority::Low => LOW_RESERVE_PERCENT,
        SendPriority::Normal => NORMAL_RESERVE_PERCENT,
        SendPriority::High => 0,
    }
}
