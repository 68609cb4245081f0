//! The node's record of events: stamped where they happen, kept in a bounded ring, logged.
//!
//! One thread, the journal's, logs and keeps the records; the other threads hand events over a bounded
//! queue and never wait for it. What doesn't fit is dropped, and the record's sequence numbers show it.

mod event_journal;
mod event_logger;
mod event_reader;
mod event_sender;
mod journal_gate;
mod journal_handle;
mod journal_message;
mod journal_thread;
mod line_budget;
mod wall_clock;

pub use event_journal::EventJournal;
pub use event_logger::{LOG_TARGET, LoggingError, event_logger, start_logging};
pub use event_reader::EventReader;
pub use event_sender::EventSender;
pub use journal_handle::JournalHandle;
