//! What the journal's thread is sent.

use coltsfootroute::event::EventRecord;

/// What the journal's thread is sent.
pub(super) enum JournalMessage {
    /// A record to log and keep.
    Record(EventRecord),
    /// Finish what was sent before this, then end.
    Stop,
}
