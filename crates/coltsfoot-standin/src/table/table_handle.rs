//! Handle of a running stand-in.

use std::{
    net::SocketAddr,
    sync::{Arc, mpsc},
    thread::JoinHandle,
};

use super::{FaultCommand, TableCounts, table_service::TableService};

/// Controls a stand-in that runs in threads of this process; stops it when dropped.
#[derive(Debug)]
pub struct TableHandle {
    address: SocketAddr,
    service: Arc<TableService>,
    /// Dropped to stop the server.
    stop: Option<mpsc::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl TableHandle {
    pub(super) fn new(
        address: SocketAddr,
        service: Arc<TableService>,
        stop: mpsc::Sender<()>,
        thread: JoinHandle<()>,
    ) -> Self {
        Self { address, service, stop: Some(stop), thread: Some(thread) }
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
        self.stop_and_join();
    }

    fn stop_and_join(&mut self) {
        self.stop = None;
        if let Some(thread) = self.thread.take() {
            // A panic of the server thread has been printed already.
            let _ = thread.join();
        }
    }
}

impl Drop for TableHandle {
    fn drop(&mut self) {
        self.stop_and_join();
    }
}
