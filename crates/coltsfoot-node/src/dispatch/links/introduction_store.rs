//! Reads and writes of the rows by which nodes find one another.

use std::time::Duration;

use coltsfootroute::{
    id::NodeId,
    membership::IntroductionScan,
    name::ServiceName,
    table::{StoreUse, TableReply, TableRequest},
};

use crate::store::StoreHandle;

/// Time one request to the table service may take.
const STORE_DEADLINE: Duration = Duration::from_secs(2);

/// Reads and writes of the rows by which nodes find one another. Best effort, and never waited for by a call.
#[derive(Clone)]
pub struct IntroductionStore {
    store: StoreHandle,
}

impl IntroductionStore {
    /// Rows kept in `store`.
    pub fn new(store: StoreHandle) -> Self {
        Self { store }
    }

    /// Asks the table service.
    pub async fn ask(&self, request: TableRequest) -> TableReply {
        self.store.request(request, STORE_DEADLINE, StoreUse::Introduction).await
    }

    /// Changes rows; returns whether the change stands for certain.
    pub async fn change(&self, request: TableRequest) -> bool {
        self.ask(request).await == TableReply::Committed
    }

    /// The next part of a scan of all nodes' rows.
    pub async fn scan(&self, scan: &mut IntroductionScan) -> Vec<NodeId> {
        let reply = self.ask(scan.request()).await;
        let found = scan.take(&reply);
        if !found.is_empty() || !scan.is_at_start() {
            return found;
        }
        // Started behind the last row.
        let reply = self.ask(scan.request()).await;
        scan.take(&reply)
    }

    /// Nodes whose rows say that their upstream is one of `service`.
    pub async fn members_of(&self, service: &ServiceName) -> Vec<NodeId> {
        let mut scan = IntroductionScan::of_service(service);
        let reply = self.ask(scan.request()).await;
        scan.take(&reply)
    }
}
