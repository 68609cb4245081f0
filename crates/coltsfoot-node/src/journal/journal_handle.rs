//! Handle of the journal's thread.

use std::{sync::mpsc::SyncSender, thread::JoinHandle};

use super::journal_message::JournalMessage;

/// Handle of the journal's thread. The thread also ends by itself once this and all senders are gone.
pub struct JournalHandle {
    queue: SyncSender<JournalMessage>,
    thread: JoinHandle<()>,
}

impl JournalHandle {
    pub(super) fn new(queue: SyncSender<JournalMessage>, thread: JoinHandle<()>) -> Self {
        Self { queue, thread }
    }

    /// Waits until everything emitted before is logged and kept, then ends the thread.
    pub fn stop(self) {
        // Both fail only if the thread has ended already.
        drop(self.queue.send(JournalMessage::Stop));
        drop(self.thread.join());
    }
}
