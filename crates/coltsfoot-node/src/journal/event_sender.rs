//! Sender of events to the journal.

use std::sync::{Arc, mpsc::SyncSender};

use coltsfootroute::event::{ClockDrift, EventKind, HybridStamp};

use super::{journal_gate::JournalGate, journal_message::JournalMessage, wall_clock::wall_ms};

/// Sends events to the journal; cheap to clone, one for each thread that emits events.
///
/// A standard bounded channel and not an `rtrb` ring, which has one producer only: every duty emits
/// events, and the journal's thread has to sleep until one comes.
#[derive(Clone)]
pub struct EventSender {
    gate: Arc<JournalGate>,
    queue: SyncSender<JournalMessage>,
}

impl EventSender {
    pub(super) fn new(gate: Arc<JournalGate>, queue: SyncSender<JournalMessage>) -> Self {
        Self { gate, queue }
    }

    /// Records that `kind` happened now. Never blocks: if the queue is full, the event is dropped and leaves a gap in the
    /// sequence.
    pub fn emit(&self, kind: EventKind) {
        let mut state = self.gate.lock();
        let record = state.record(kind);
        if self.queue.try_send(JournalMessage::Record(record)).is_err() {
            state.dropped += 1;
        }
    }

    /// Returns a stamp for a message to another process.
    pub fn stamp(&self) -> HybridStamp {
        self.gate.lock().clock.tick(wall_ms())
    }

    /// Observes the stamp of a received message, so that events caused by it are ordered after it.
    ///
    /// # Errors
    ///
    /// [`ClockDrift`] if the sender's clock is too far ahead; the message itself is not affected.
    pub fn observe(&self, stamp: HybridStamp) -> Result<(), ClockDrift> {
        self.gate.lock().clock.observe(stamp, wall_ms())
    }
}
