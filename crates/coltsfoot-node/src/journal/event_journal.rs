//! Journal before its thread is started.

use std::{
    io,
    sync::{
        Arc, Mutex,
        atomic::AtomicU64,
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
};

use coltsfootroute::{
    event::EventRing,
    id::{Incarnation, NodeId},
};

use super::{
    EventReader, EventSender, JournalHandle, journal_gate::JournalGate,
    journal_message::JournalMessage, journal_thread::JournalThread,
};
use crate::metrics::{DutyMeter, NodeDuty, NodeMetrics};

/// Name of the journal's thread.
const THREAD_NAME: &str = "journal";

/// Journal of one incarnation of a node, before its thread is started. Events emitted meanwhile wait in the queue.
pub struct EventJournal {
    gate: Arc<JournalGate>,
    ring: Arc<Mutex<EventRing>>,
    /// Sequence number after the latest retained record.
    kept: Arc<AtomicU64>,
    sender: SyncSender<JournalMessage>,
    receiver: Receiver<JournalMessage>,
}

impl EventJournal {
    /// Maximum number of events that wait for the journal's thread.
    pub const QUEUE_EVENTS: usize = 4_096;
    /// Number of records retained for readers.
    pub const RING_RECORDS: usize = 16_384;

    /// Creates the journal of `node`, whose incarnation is `life`.
    pub fn new(node: NodeId, life: Incarnation) -> Self {
        let (sender, receiver) = sync_channel(Self::QUEUE_EVENTS);
        let ring = EventRing::new(Self::RING_RECORDS);
        let gate = Arc::new(JournalGate::new(node, life));
        Self { gate, ring: Arc::new(Mutex::new(ring)), kept: Arc::default(), sender, receiver }
    }

    /// Sets the maximum number of waiting events, at least 1. Call before [`EventJournal::sender`].
    pub fn with_queue_events(mut self, events: usize) -> Self {
        (self.sender, self.receiver) = sync_channel(events.max(1));
        self
    }

    /// Sets the number of retained records, at least 1. Call before [`EventJournal::reader`].
    pub fn with_ring_records(mut self, records: usize) -> Self {
        self.ring = Arc::new(Mutex::new(EventRing::new(records)));
        self
    }

    /// Returns a sender.
    pub fn sender(&self) -> EventSender {
        EventSender::new(Arc::clone(&self.gate), self.sender.clone())
    }

    /// Returns a reader.
    pub fn reader(&self) -> EventReader {
        EventReader::new(self.gate.clone(), self.ring.clone(), self.kept.clone())
    }

    /// Starts the journal's thread, which reports its processor time to `metrics`.
    ///
    /// # Errors
    ///
    /// Returns the system's error if it cannot start a thread.
    pub fn spawn(self, metrics: Arc<NodeMetrics>) -> io::Result<JournalHandle> {
        let journal = JournalThread::new(self.receiver, self.ring, self.kept);
        let thread = thread::Builder::new().name(THREAD_NAME.to_owned());
        let thread =
            thread.spawn(move || journal.run(DutyMeter::new(metrics, NodeDuty::Journal)))?;
        Ok(JournalHandle::new(self.sender, thread))
    }
}
