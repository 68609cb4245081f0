//! Handle of a running stand-in.

use std::{
    net::SocketAddr,
    sync::{Arc, mpsc},
    thread::JoinHandle,
};

use super::{FaultCommand, TableCounts, table_service::TableService};

/// How the server ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopMode {
    /// After the requests in flight.
    Graceful,
    /// Without waiting for idle connections to close.
    AtOnce,
}

/// Controls a stand-in that runs in threads of this process; stops it when dropped.
#[derive(Debug)]
pub struct TableHandle {
    address: SocketAddr,
    service: Arc<TableService>,
    stop: mpsc::Sender<StopMode>,
    thread: Option<JoinHandle<()>>,
}

impl TableHandle {
    pub(super) fn new(
        address: SocketAddr,
        service: Arc<TableService>,
        stop: mpsc::Sender<StopMode>,
        thread: JoinHandle<()>,
    ) -> Self {
        Self { address, service, stop, thread: Some(thread) }
    }

    /// Address listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Puts a fault in force in place of the one before.
    pub fn fault(&self, command: &FaultCommand) {
        self.service.fault(command);
    }

    /// Counts so far.
    pub fn counts(&self) -> TableCounts {
        self.service.counts()
    }

    /// Stops after the requests in flight and waits for the end.
    pub fn stop(mut self) {
        self.stop_and_join(StopMode::Graceful);
    }

    fn stop_and_join(&mut self, mode: StopMode) {
        // A server that has ended already takes no command.
        let _ = self.stop.send(mode);
        if let Some(thread) = self.thread.take() {
            // A panic of the server thread has been printed already.
            let _ = thread.join();
        }
    }
}

impl Drop for TableHandle {
    fn drop(&mut self) {
        self.stop_and_join(StopMode::AtOnce);
    }
}
