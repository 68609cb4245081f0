//! Reading of the records kept.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use coltsfootroute::event::{EventRecord, EventRing};

use super::journal_gate::JournalGate;

/// Reads the records kept; cheap to clone.
#[derive(Clone)]
pub struct EventReader {
    gate: Arc<JournalGate>,
    ring: Arc<Mutex<EventRing>>,
}

impl EventReader {
    pub(super) fn new(gate: Arc<JournalGate>, ring: Arc<Mutex<EventRing>>) -> Self {
        Self { gate, ring }
    }

    /// Up to `limit` records from sequence number `sequence` on, oldest first; see
    /// [`EventRing::read_since`].
    pub fn read_since(&self, sequence: u64, limit: usize) -> Vec<EventRecord> {
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

    fn lock(&self) -> MutexGuard<'_, EventRing> {
        // The ring is valid at every point where an update could panic.
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
