//! Bound on the bytes that a node spends on control.

use super::SendPriority;
use crate::time::MonotonicTime;

/// Share of the burst, in percent, that lower priorities leave to higher ones.
const LOW_RESERVE_PERCENT: u64 = 50;
const NORMAL_RESERVE_PERCENT: u64 = 20;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// A token bucket in bytes: over any stretch of `t` seconds at most `burst + rate * t` bytes are sent, and once, after the
/// start, what it began with in place of `burst`.
#[derive(Clone, Debug)]
pub struct BandwidthBudget {
    /// Bytes per second.
    rate: u64,
    /// Most bytes that gather.
    burst: u64,
    /// Invariant: at most `burst`, or what is left of the content at the start.
    available: u64,
    refilled_at: MonotonicTime,
}

impl BandwidthBudget {
    /// A full bucket of `burst` bytes that gains `rate` bytes a second.
    pub fn new(rate: u64, burst: u64, now: MonotonicTime) -> Self {
        Self { rate, burst, available: burst, refilled_at: now }
    }

    /// Takes `bytes` for a send of `priority`; false if they have to wait for higher ones.
    pub fn try_acquire(&mut self, now: MonotonicTime, priority: SendPriority, bytes: u64) -> bool {
        self.refill(now);
        let reserve = self.burst * reserve_percent(priority) / 100;
        if self.available < bytes + reserve {
            return false;
        }
        self.available -= bytes;
        true
    }

    /// Lets `bytes` go out at once after the start, if these are more.
    pub fn with_initial_bytes(self, bytes: u64) -> Self {
        Self { available: self.available.max(bytes), ..self }
    }

    /// Bytes that may be sent at once.
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
