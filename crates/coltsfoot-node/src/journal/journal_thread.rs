//! The journal's thread.

use std::sync::{
    Arc, Mutex, PoisonError,
    mpsc::{Receiver, RecvTimeoutError},
};

use coltsfootroute::event::{EventRecord, EventRing};

use super::{event_logger, journal_message::JournalMessage};
use crate::metrics::DutyMeter;

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

    /// Runs until stopped or until nobody can send any more; `meter` takes its processor time.
    pub(super) fn run(mut self, mut meter: DutyMeter) {
        loop {
            match self.queue.recv_timeout(DutyMeter::IDLE_PERIOD) {
                Ok(JournalMessage::Record(record)) => self.take(record),
                Err(RecvTimeoutError::Timeout) => {}
                Ok(JournalMessage::Stop) | Err(RecvTimeoutError::Disconnected) => return,
            }
            meter.report();
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
