//! Thread of the journal.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, RecvTimeoutError},
    },
    time::Duration,
};

use coltsfootroute::event::{EventRecord, EventRing};

use super::{
    event_logger,
    journal_message::JournalMessage,
    line_budget::{LeftOut, LineBudget},
};
use crate::metrics::DutyMeter;

/// Pause after the queue has been emptied: events that arrive meanwhile wake no thread and share one write. Readers wait for
/// it ([`EventReader`](super::EventReader)).
const GATHER_PAUSE: Duration = Duration::from_millis(5);
/// Longest time that a line of another thread stays in the log's buffer.
const FLUSH_PERIOD: Duration = Duration::from_secs(1);

/// Thread of the journal, which logs and retains each record.
pub(super) struct JournalThread {
    queue: Receiver<JournalMessage>,
    ring: Arc<Mutex<EventRing>>,
    /// Sequence number of the next record, if none was dropped.
    expected: u64,
    budget: LineBudget,
    /// `expected`, for readers.
    kept: Arc<AtomicU64>,
}

impl JournalThread {
    pub(super) fn new(
        queue: Receiver<JournalMessage>,
        ring: Arc<Mutex<EventRing>>,
        kept: Arc<AtomicU64>,
    ) -> Self {
        Self { queue, ring, expected: 0, budget: LineBudget::new(), kept }
    }

    /// Runs until stopped or until all senders are gone; `meter` reports its processor time.
    pub(super) fn run(mut self, mut meter: DutyMeter) {
        loop {
            let message = match self.queue.try_recv() {
                Ok(message) => Ok(message),
                Err(_) => {
                    // Nothing more to write for now.
                    log::logger().flush();
                    std::thread::sleep(GATHER_PAUSE);
                    self.queue.recv_timeout(FLUSH_PERIOD)
                }
            };
            match message {
                Ok(JournalMessage::Record(record)) => self.take(record),
                Err(RecvTimeoutError::Timeout) => {}
                Ok(JournalMessage::Stop) | Err(RecvTimeoutError::Disconnected) => {
                    log::logger().flush();
                    return;
                }
            }
            if let Some(LeftOut { failures, successes }) = self.budget.due_report() {
                event_logger::log_left_out(failures, successes);
            }
            meter.report();
        }
    }

    fn take(&mut self, record: EventRecord) {
        if record.sequence > self.expected {
            event_logger::log_dropped(&record, self.expected);
        }
        self.expected = record.sequence + 1;
        if event_logger::is_logged(&record) && self.budget.admits(&record) {
            event_logger::log_record(&record);
        }
        // The ring is valid at every point where an update could panic.
        self.ring.lock().unwrap_or_else(PoisonError::into_inner).push(record);
        self.kept.store(self.expected, Ordering::Release);
    }
}
