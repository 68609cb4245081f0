//! The switch that begins a planned stop.

use std::sync::mpsc::SyncSender;

/// Begins a planned stop; cloned into whatever may ask for one.
#[derive(Clone)]
pub struct DrainSwitch {
    sender: SyncSender<()>,
}

impl DrainSwitch {
    /// A switch whose first use is received on the other end of `sender`.
    pub fn new(sender: SyncSender<()>) -> Self {
        Self { sender }
    }

    /// Begins the stop; later uses change nothing.
    pub fn begin(&self) {
        // Full or closed: the stop has begun.
        let _ = self.sender.try_send(());
    }
}
