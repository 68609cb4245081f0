//! Reading of the records kept.

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

/// Pause between two looks at whether the journal's thread has caught up.
const LOOK_PAUSE: Duration = Duration::from_millis(1);
/// Most looks: several of the thread's own pauses. Events that were dropped are never kept.
const MOST_LOOKS: u32 = 25;

/// Reads the records kept; cheap to clone.
#[derive(Clone)]
pub struct EventReader {
    gate: Arc<JournalGate>,
    ring: Arc<Mutex<EventRing>>,
    /// Sequence number after the last record kept.
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

    /// Up to `limit` records from sequence number `sequence` on, oldest first; see
    /// [`EventRing::read_since`]. Waits a moment for those emitted just before.
    pub fn read_since(&self, sequence: u64, limit: usize) -> Vec<EventRecord> {
        self.await_kept();
        self.lock().read_since(sequence, limit)
    }

    /// The same as JSON, one record a line: the body of `GET /events?since={sequence}`.
    pub fn json_lines_since(&self, sequence: u64, limit: usize) -> String {
        let records = self.read_since(sequence, limit);
        records.iter().map(|record| record.to_json() + "\n").collect()
    }

    /// Events that did not fit the queue so far.
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
