//! Reads and writes the rows by which nodes find one another.

use std::time::Duration;

use coltsfootroute::{
    membership::{IntroducedNode, IntroductionScan},
    name::ServiceName,
    table::{StoreUse, TableReply, TableRequest},
};

use crate::store::StoreHandle;

/// Timeout of one request to the table service.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads and writes the rows by which nodes find one another. Best effort; calls never wait for it.
#[derive(Clone)]
pub struct IntroductionStore {
    store: StoreHandle,
}

impl IntroductionStore {
    /// Creates an introduction store whose rows are kept in `store`.
    pub fn new(store: StoreHandle) -> Self {
        Self { store }
    }

    /// Reads one of the node's own rows.
    pub async fn read_own(&self, request: TableRequest) -> TableReply {
        self.request(request, StoreUse::OwnRows).await
    }

    /// Changes the node's own rows.
    pub async fn change_own(&self, request: TableRequest) -> TableReply {
        self.request(request, StoreUse::OwnRows).await
    }

    /// Reads the next part of a scan of all nodes' rows.
    pub async fn scan(&self, scan: &mut IntroductionScan) -> Vec<IntroducedNode> {
        let reply = self.request(scan.request(), StoreUse::NodeScan).await;
        let found = scan.handle_reply(&reply);
        if !found.is_empty() || !scan.is_at_start() {
            return found;
        }
        // The scan started after the last row and has wrapped to the start.
        let reply = self.request(scan.request(), StoreUse::NodeScan).await;
        scan.handle_reply(&reply)
    }

    /// Returns the nodes whose rows say that their upstream belongs to `service`.
    pub async fn members_of(&self, service: &ServiceName) -> Vec<IntroducedNode> {
        let mut scan = IntroductionScan::of_service(service);
        let reply = self.request(scan.request(), StoreUse::MemberScan).await;
        scan.handle_reply(&reply)
    }

    async fn request(&self, request: TableRequest, store_use: StoreUse) -> TableReply {
        self.store.request(request, STORE_TIMEOUT, store_use).await
    }
}
