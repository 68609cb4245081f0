//! Switch that starts a planned stop.

use std::sync::mpsc::SyncSender;

/// Starts a planned stop; each component that may request one holds a clone.
#[derive(Clone)]
pub struct DrainSwitch {
    sender: SyncSender<()>,
}

impl DrainSwitch {
    /// Creates a switch that sends its first use through `sender`.
    pub fn new(sender: SyncSender<()>) -> Self {
        Self { sender }
    }

    /// Starts the stop; later calls have no effect.
    pub fn begin(&self) {
        // The channel is full or closed only if the stop has already started.
        let _ = self.sender.try_send(());
    }
}
