//! Handle of a running upstream.

use std::{net::SocketAddr, sync::Arc, thread::JoinHandle};

use tokio::sync::watch;

use super::{ControlCommand, CountsReport, upstream_state::UpstreamState};

/// A running upstream; dropped, it goes on until the process ends.
pub struct UpstreamHandle {
    address: SocketAddr,
    state: Arc<UpstreamState>,
    stop: watch::Sender<bool>,
    thread: JoinHandle<()>,
}

impl UpstreamHandle {
    pub(super) fn new(
        address: SocketAddr,
        state: Arc<UpstreamState>,
        stop: watch::Sender<bool>,
        thread: JoinHandle<()>,
    ) -> Self {
        Self { address, state, stop, thread }
    }

    /// Address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it counted up to now.
    pub fn counts(&self) -> CountsReport {
        self.state.report()
    }

    /// Sets faults.
    pub fn control(&self, command: ControlCommand) {
        self.state.apply(command);
    }

    /// Whether it has ended, if only by a call.
    pub fn has_ended(&self) -> bool {
        self.thread.is_finished()
    }

    /// Leaves, finishes what runs and stops; returns the last counts.
    pub fn stop(self) -> CountsReport {
        let _ = self.stop.send(true);
        // A panic of the thread has been printed by then; the counts stand.
        let _ = self.thread.join();
        self.state.report()
    }
}
