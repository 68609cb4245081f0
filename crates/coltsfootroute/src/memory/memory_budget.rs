//! Budget of the memory in which a node holds requests and answers.

use super::Scarcity;
use crate::time::MonotonicTime;

/// Largest hold that may use the reserve, in bytes: an ordinary request with its head.
pub const SMALL_HOLD_BYTES: usize = 32 * 1024;
/// Share of the capacity that only small holds may use: one part in so many.
const RESERVE_DIVISOR: usize = 8;

/// Budget of the memory in which a node holds requests and answers.
///
/// A hold is granted at once or refused at once: holders that waited for one another's memory might all wait for ever.
/// Large holds leave a reserve to small ones, so that clients with large bodies don't keep out ordinary requests.
#[derive(Clone, Copy, Debug)]
pub struct MemoryBudget {
    /// Most bytes held.
    capacity: usize,
    /// Bytes held now; at most `capacity`.
    used: usize,
    scarcity: Scarcity,
}

impl MemoryBudget {
    /// Creates a budget of `capacity` bytes of which nothing is used.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, used: 0, scarcity: Scarcity::default() }
    }

    /// Raises a hold from `held` to `wanted` bytes; returns whether there is room for that. Nothing changes if there is not.
    pub fn try_raise(&mut self, held: usize, wanted: usize) -> bool {
        let others = self.used.saturating_sub(held);
        let fits = others.checked_add(wanted).is_some_and(|used| used <= self.most_used(wanted));
        if fits {
            self.used = others + wanted;
        }
        fits
    }

    /// Releases `bytes` of a hold.
    pub fn release(&mut self, bytes: usize) {
        self.used = self.used.saturating_sub(bytes);
    }

    /// Records that a hold was refused; returns whether holders are to be told now.
    pub fn record_refusal(&mut self, now: MonotonicTime) -> bool {
        self.scarcity.record(now)
    }

    /// Returns whether a hold was refused a moment ago.
    pub fn is_scarce(&self, now: MonotonicTime) -> bool {
        self.scarcity.lasts(now)
    }

    /// Returns the number of bytes held.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Returns the most bytes that may be held.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// The most bytes that may be held altogether once a hold has `wanted`.
    fn most_used(&self, wanted: usize) -> usize {
        match wanted <= SMALL_HOLD_BYTES {
            true => self.capacity,
            false => self.capacity - self.capacity / RESERVE_DIVISOR,
        }
    }
}
