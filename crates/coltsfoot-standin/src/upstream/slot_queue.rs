//! Slots and the bounded queue in front of them.

use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::{Semaphore, SemaphorePermit};

/// A fixed number of slots, taken in order of arrival, and a bound on the calls that wait.
#[derive(Debug)]
pub(super) struct SlotQueue {
    slots: Semaphore,
    waiting: AtomicUsize,
    max_waiting: usize,
}

impl SlotQueue {
    /// `slots` calls at work at once and `max_waiting` behind them.
    pub(super) fn new(slots: usize, max_waiting: usize) -> Self {
        Self { slots: Semaphore::new(slots), waiting: AtomicUsize::new(0), max_waiting }
    }

    /// Waits for a slot; `None` at once where the queue is full.
    pub(super) async fn take(&self) -> Option<SemaphorePermit<'_>> {
        if let Ok(permit) = self.slots.try_acquire() {
            return Some(permit);
        }
        let _place = WaitingPlace::new(&self.waiting, self.max_waiting)?;
        self.slots.acquire().await.ok()
    }

    /// Calls that wait.
    pub(super) fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }
}

/// A place in the queue, given back when dropped: also where the caller goes away.
struct WaitingPlace<'a> {
    waiting: &'a AtomicUsize,
}

impl<'a> WaitingPlace<'a> {
    fn new(waiting: &'a AtomicUsize, max_waiting: usize) -> Option<Self> {
        let before = waiting.fetch_add(1, Ordering::Relaxed);
        let place = Self { waiting };
        (before < max_waiting).then_some(place)
    }
}

impl Drop for WaitingPlace<'_> {
    fn drop(&mut self) {
        self.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}
