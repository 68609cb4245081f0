//! The journal's thread.

use std::sync::{Arc, Mutex, PoisonError, mpsc::Receiver};

use coltsfootroute::event::{EventRecord, EventRing};

use super::{event_logger, journal_message::JournalMessage};

/// The journal's thread: logs each record and keeps it.
pub(super) struct JournalThread {
    queue: Receiver<JournalMessage>,
    ring: Arc<Mutex<EventRing>>,
    /// Sequence number of the next record, if none was dropped.
    expected: u64,
}

impl JournalThread {
    pub(super) fn new(queue: Receiver<JournalMessage>, ring: Arc<Mutex<EventRing>>) -> Self {
        Self { queue, ring, expected: 0 }
    }

    /// Runs until stopped or until nobody can send any more.
    pub(super) fn run(mut self) {
        while let Ok(JournalMessage::Record(record)) = self.queue.recv() {
            self.take(record);
        }
    }

    fn take(&mut self, record: EventRecord) {
        if record.sequence > self.expected {
            event_logger::log_dropped(&record, self.expected);
        }
        self.expected = record.sequence + 1;
        event_logger::log_record(&record);
        // The ring is valid at every point where an update could panic.
        self.ring.lock().unwrap_or_else(PoisonError::into_inner).push(record);
    }
}
