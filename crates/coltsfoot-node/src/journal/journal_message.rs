//! Messages to the journal's thread.

use coltsfootroute::event::EventRecord;

/// Message to the journal's thread.
pub(super) enum JournalMessage {
    /// Log and retain a record.
    Record(EventRecord),
    /// Process the earlier messages, then end.
    Stop,
}
