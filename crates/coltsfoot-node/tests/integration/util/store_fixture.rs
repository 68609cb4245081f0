//! Table stand-in with a store thread that accesses it.

use std::{sync::Arc, time::Duration};

use coltsfoot_node::{
    journal::{EventJournal, EventReader, EventSender},
    metrics::NodeMetrics,
    store::{HttpClient, StoreHandle, StoreSettings, StoreThread},
};
use coltsfoot_standin::table::{FaultCommand, TableHandle, TableServer, TableSettings};
use coltsfootroute::{
    id::{Incarnation, NodeId},
    table::{RowCondition, RowKey, RowWrite, StoreUse, TableReply, TableRequest},
};

use super::node_metrics::node_metrics;

/// Timeout far longer than any request takes; a test that reaches it has failed.
pub const LONG: Duration = Duration::from_secs(30);

pub struct StoreFixture {
    pub table: TableHandle,
    pub store: StoreHandle,
    pub metrics: Arc<NodeMetrics>,
    pub events: EventReader,
}

impl StoreFixture {
    pub fn new() -> Self {
        Self::with_settings(|settings| settings)
    }

    pub fn with_settings(change: impl FnOnce(StoreSettings) -> StoreSettings) -> Self {
        let table = TableServer::start(&TableSettings::default()).expect("loopback");
        let settings = change(StoreSettings::new(table.address()));
        let metrics = node_metrics();
        let (sender, events) = event_log(&metrics);
        let store =
            StoreThread::start(HttpClient::new, settings, metrics.clone(), sender).expect("thread");
        Self { table, store, metrics, events }
    }

    pub fn fault(&self, command: FaultCommand) {
        self.table.fault(&command);
    }

    pub async fn claim(&self, request: TableRequest) -> TableReply {
        self.store.request(request, LONG, StoreUse::Claim).await
    }
}

/// Starts a journal, which runs until its senders are dropped.
pub fn event_log(metrics: &Arc<NodeMetrics>) -> (EventSender, EventReader) {
    let journal =
        EventJournal::new(NodeId("127.0.0.1:4711".parse().expect("address")), Incarnation(1));
    let (sender, reader) = (journal.sender(), journal.reader());
    journal.spawn(metrics.clone()).expect("thread");
    (sender, reader)
}

pub fn insert(key: &str, value: &str) -> TableRequest {
    TableRequest::Transact(vec![RowWrite {
        key: RowKey::new(key),
        condition: RowCondition::Absent,
        value: Some(value.to_owned()),
    }])
}

pub fn read(key: &str) -> TableRequest {
    TableRequest::Read(RowKey::new(key))
}
