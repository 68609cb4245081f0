//! Reader of the retained records.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use coltsfootroute::event::{EventRecord, EventRing};

use super::journal_gate::JournalGate;

/// Pause between two checks whether the journal's thread has caught up.
const LOOK_PAUSE: Duration = Duration::from_millis(1);
/// Maximum number of checks, several of the thread's own pauses: dropped events never become records.
const MOST_LOOKS: u32 = 25;

/// Reads the retained records; cheap to clone.
#[derive(Clone)]
pub struct EventReader {
    gate: Arc<JournalGate>,
    ring: Arc<Mutex<EventRing>>,
    /// Sequence number after the latest retained record.
    kept: Arc<AtomicU64>,
}

impl EventReader {
    pub(super) fn new(
        gate: Arc<JournalGate>,
        ring: Arc<Mutex<EventRing>>,
        kept: Arc<AtomicU64>,
    ) -> Self {
        Self { gate, ring, kept }
    }

    /// Returns up to `limit` records from sequence number `sequence` on, oldest first; see [`EventRing::read_since`]. Waits
    /// briefly for records that have just been emitted.
    pub fn read_since(&self, sequence: u64, limit: usize) -> Vec<EventRecord> {
        self.await_kept();
        self.lock().read_since(sequence, limit)
    }

    /// Returns the same as JSON, one record per line: the body of `GET /events?since={sequence}`.
    pub fn json_lines_since(&self, sequence: u64, limit: usize) -> String {
        let records = self.read_since(sequence, limit);
        records.iter().map(|record| record.to_json() + "\n").collect()
    }

    /// Returns the number of events dropped so far because the queue was full.
    pub fn dropped(&self) -> u64 {
        self.gate.lock().dropped
    }

    fn await_kept(&self) {
        let emitted = self.gate.lock().next_sequence;
        for _ in 0..MOST_LOOKS {
            if self.kept.load(Ordering::Acquire) >= emitted {
                return;
            }
            thread::sleep(LOOK_PAUSE);
        }
    }

    fn lock(&self) -> MutexGuard<'_, EventRing> {
        // The ring is valid at every point where an update could panic.
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
