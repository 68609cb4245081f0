//! Bound on the connections of a listener.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use coltsfootroute::{memory::Scarcity, time::MonotonicTime};
use tokio::{
    sync::{Notify, OwnedSemaphorePermit, Semaphore, futures::Notified},
    time::sleep,
};

use crate::{
    clock::MonotonicClock,
    journal::LOG_TARGET,
    memory::{MemoryHold, MemoryPool},
};

/// Memory that is held for each connection, in bytes: its buffer and its state.
const CONNECTION_BYTES: usize = 12 * 1024;
/// Pause before a connection without a slot is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Shortest time between two log lines about connections that wait.
const REPORT_PERIOD: Duration = Duration::from_secs(10);

/// Bound on the connections of a listener. Where all slots are taken, a new connection waits until one is free; meanwhile
/// connections that are not used are closed after a short time.
#[derive(Clone)]
pub struct ConnectionSlots {
    state: Arc<SlotsState>,
}

struct SlotsState {
    /// Name of the listener, for the log.
    listener: &'static str,
    clock: MonotonicClock,
    /// Free slots.
    free: Arc<Semaphore>,
    shortage: Mutex<SlotsShortage>,
    /// Whether slots may be scarce; saves connections the look at the clock while they are not.
    may_be_scarce: AtomicBool,
    /// Notified when slots become scarce, and from time to time while they are.
    scarce: Notify,
}

#[derive(Default)]
struct SlotsShortage {
    scarcity: Scarcity,
    /// Time of the last log line.
    reported: Option<MonotonicTime>,
}

/// The slot of a connection; free again when it is dropped.
pub struct ConnectionSlot {
    _permit: OwnedSemaphorePermit,
    _hold: MemoryHold,
}

impl ConnectionSlots {
    /// Creates the slots of a listener for `most` connections.
    pub fn new(listener: &'static str, most: usize, clock: MonotonicClock) -> Self {
        let free = Arc::new(Semaphore::new(most.clamp(1, Semaphore::MAX_PERMITS)));
        let (shortage, scarce) = (Mutex::default(), Notify::new());
        let may_be_scarce = AtomicBool::new(false);
        let state = SlotsState { listener, clock, free, shortage, may_be_scarce, scarce };
        Self { state: Arc::new(state) }
    }

    /// Waits for a slot, and for the memory of a connection.
    pub async fn acquire(&self, memory: &MemoryPool) -> ConnectionSlot {
        loop {
            match self.try_acquire(memory) {
                Some(slot) => return slot,
                None => self.record_shortage(),
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Returns whether a connection had to wait a moment ago.
    pub fn is_scarce(&self) -> bool {
        if !self.state.may_be_scarce.load(Ordering::Relaxed) {
            return false;
        }
        let shortage = self.lock();
        let is_scarce = shortage.scarcity.lasts(self.state.clock.now());
        self.state.may_be_scarce.store(is_scarce, Ordering::Relaxed);
        is_scarce
    }

    /// Waits until a connection has to wait.
    pub fn scarce(&self) -> Notified<'_> {
        self.state.scarce.notified()
    }

    fn try_acquire(&self, memory: &MemoryPool) -> Option<ConnectionSlot> {
        let permit = self.state.free.clone().try_acquire_owned().ok()?;
        let mut hold = memory.hold();
        hold.raise_to(CONNECTION_BYTES).ok()?;
        Some(ConnectionSlot { _permit: permit, _hold: hold })
    }

    fn record_shortage(&self) {
        let now = self.state.clock.now();
        let mut shortage = self.lock();
        self.state.may_be_scarce.store(true, Ordering::Relaxed);
        if shortage.scarcity.record(now) {
            self.state.scarce.notify_waiters();
        }
        if shortage.reported.is_none_or(|last| now.since(last) >= REPORT_PERIOD) {
            shortage.reported = Some(now);
            let (listener, free) = (self.state.listener, self.state.free.available_permits());
            log::warn!(
                target: LOG_TARGET,
                "level=warn event=connections-full listener={listener} free={free}"
            );
        }
    }

    fn lock(&self) -> MutexGuard<'_, SlotsShortage> {
        // Each update under the lock is complete at every point where it could panic.
        self.state.shortage.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for ConnectionSlots {
    /// Creates slots for any number of connections.
    fn default() -> Self {
        Self::new("unbounded", Semaphore::MAX_PERMITS, MonotonicClock::new())
    }
}
