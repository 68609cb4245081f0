//! Memory of the process for requests and answers.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use coltsfootroute::{memory::MemoryBudget, time::MonotonicTime};
use tokio::sync::{Notify, futures::Notified};

use super::{MemoryHold, MemoryUsage};
use crate::{clock::MonotonicClock, journal::LOG_TARGET};

/// Memory in bytes that the process takes for itself, in all builds.
const OWN_BYTES: usize = 24_000_000;
/// Share of the memory beyond it that may be held, as a fraction. The rest is for what requests take beside their bytes, and
/// for what the allocator keeps back.
const HELD_SHARE: (usize, usize) = (7, 12);
/// Share of the memory that may be held at least, where the process has little more than it takes for itself: one part in
/// so many.
const MIN_HELD_DIVISOR: usize = 8;
/// Shortest time between two log lines about refused holds.
const REPORT_PERIOD: Duration = Duration::from_secs(10);

/// Memory of the process for requests and answers, shared by all its threads.
#[derive(Clone)]
pub struct MemoryPool {
    state: Arc<PoolState>,
}

struct PoolState {
    clock: MonotonicClock,
    holds: Mutex<PoolHolds>,
    /// Whether memory may be scarce; saves connections the look at the clock while it is not.
    may_be_scarce: AtomicBool,
    /// Notified when memory becomes scarce, and from time to time while it is.
    scarce: Notify,
}

struct PoolHolds {
    budget: MemoryBudget,
    /// Number of refused holds.
    refused: u64,
    /// Time of the last log line about refused holds.
    reported: Option<MonotonicTime>,
}

impl MemoryPool {
    /// Creates the pool of a process that may take `memory_bytes`.
    pub fn new(memory_bytes: usize, clock: MonotonicClock) -> Self {
        let budget = MemoryBudget::new(most_held(memory_bytes));
        let holds = Mutex::new(PoolHolds { budget, refused: 0, reported: None });
        let (may_be_scarce, scarce) = (AtomicBool::new(false), Notify::new());
        Self { state: Arc::new(PoolState { clock, holds, may_be_scarce, scarce }) }
    }

    /// Returns a hold of no bytes.
    pub fn hold(&self) -> MemoryHold {
        MemoryHold::new(self.clone())
    }

    /// Returns whether a hold was refused a moment ago.
    pub fn is_scarce(&self) -> bool {
        if !self.state.may_be_scarce.load(Ordering::Relaxed) {
            return false;
        }
        let holds = self.lock();
        let is_scarce = holds.budget.is_scarce(self.state.clock.now());
        self.state.may_be_scarce.store(is_scarce, Ordering::Relaxed);
        is_scarce
    }

    /// Waits until a hold is refused.
    pub fn scarce(&self) -> Notified<'_> {
        self.state.scarce.notified()
    }

    /// Returns what is held.
    pub fn usage(&self) -> MemoryUsage {
        let holds = self.lock();
        let (held, limit) = (holds.budget.used(), holds.budget.capacity());
        MemoryUsage { held, limit, refused: holds.refused }
    }

    /// Raises a hold from `held` to `wanted` bytes; returns whether there is room for that.
    pub(super) fn try_raise(&self, held: usize, wanted: usize) -> bool {
        let mut holds = self.lock();
        let is_raised = holds.budget.try_raise(held, wanted);
        if !is_raised {
            self.report_refusal(holds, wanted);
        }
        is_raised
    }

    /// Releases `bytes` of a hold.
    pub(super) fn release(&self, bytes: usize) {
        self.lock().budget.release(bytes);
    }

    fn report_refusal(&self, mut holds: MutexGuard<'_, PoolHolds>, wanted: usize) {
        let now = self.state.clock.now();
        holds.refused += 1;
        self.state.may_be_scarce.store(true, Ordering::Relaxed);
        if holds.budget.record_refusal(now) {
            self.state.scarce.notify_waiters();
        }
        if holds.reported.is_some_and(|last| now.since(last) < REPORT_PERIOD) {
            return;
        }
        holds.reported = Some(now);
        let (held, limit) = (holds.budget.used(), holds.budget.capacity());
        let refused = holds.refused;
        drop(holds);
        log::warn!(
            target: LOG_TARGET,
            "level=warn event=memory-refused held={held} limit={limit} wanted={wanted} refused={refused}"
        );
    }

    fn lock(&self) -> MutexGuard<'_, PoolHolds> {
        // Each update under the lock is complete at every point where it could panic.
        self.state.holds.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns how much of the memory of a process may be held, in bytes.
fn most_held(memory_bytes: usize) -> usize {
    let (part, whole) = HELD_SHARE;
    let held = memory_bytes.saturating_sub(OWN_BYTES) / whole * part;
    held.max(memory_bytes / MIN_HELD_DIVISOR)
}

impl Default for MemoryPool {
    /// Creates the pool of a process whose memory is not bounded.
    fn default() -> Self {
        Self::new(usize::MAX, MonotonicClock::new())
    }
}
