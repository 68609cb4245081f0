//! The thread of the configuration duty.

use std::{io, sync::Arc, thread, time::Duration};

use bytes::Bytes;
use coltsfootroute::{
    id::NodeId,
    schema::SchemaDocument,
    table::{RowCondition, RowKey, RowWrite, StoreUse, StoredRow, TableReply, TableRequest},
};
use http::StatusCode;
use serde_json::json;
use tokio::{
    runtime,
    sync::{mpsc, oneshot},
    time::{Instant, sleep_until},
};

use super::{ConfigCell, ConfigCommand, ConfigHandle, ConfigInForce, SubmitRequest};
use crate::{
    dispatch::{DispatchCommand, DispatchHandle},
    gossip::GossipCommand,
    http::HttpReply,
    store::StoreHandle,
};

/// Commands that wait at most.
const COMMAND_RING: usize = 64;
/// Time one request to the table service may take.
const STORE_DEADLINE: Duration = Duration::from_secs(2);
/// Pause between attempts to learn the first configuration.
const FIRST_READ_PERIOD: Duration = Duration::from_secs(1);
/// Pause between reads of the head once a configuration is in force: gossip is what spreads revisions.
const HEAD_READ_PERIOD: Duration = Duration::from_secs(300);
/// Row that names the revision in force.
const HEAD_KEY: &str = "schema/head";

/// What the configuration duty is made of.
pub struct ConfigParts {
    /// Where the configuration in force stands.
    pub cell: ConfigCell,
    /// The platform's table service.
    pub store: StoreHandle,
    /// The dispatch duty.
    pub dispatch: DispatchHandle,
    /// Commands to the gossip duty.
    pub gossip: mpsc::Sender<GossipCommand>,
}

/// The thread of the configuration duty.
pub struct ConfigThread {
    parts: ConfigParts,
}

impl ConfigThread {
    /// The ring to the duty.
    pub fn ring() -> (ConfigHandle, mpsc::Receiver<ConfigCommand>) {
        let (sender, receiver) = mpsc::channel(COMMAND_RING);
        (ConfigHandle::new(sender), receiver)
    }

    /// Starts the thread; it ends with the process.
    ///
    /// # Errors
    ///
    /// If the runtime or the thread cannot be created.
    pub fn start(parts: ConfigParts, commands: mpsc::Receiver<ConfigCommand>) -> io::Result<()> {
        let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
        thread::Builder::new()
            .name("config".to_owned())
            .spawn(move || runtime.block_on(Self { parts }.run(commands)))?;
        Ok(())
    }

    async fn run(self, mut commands: mpsc::Receiver<ConfigCommand>) {
        let mut next_read = Instant::now();
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.obey(command).await,
                    None => return,
                },
                () = sleep_until(next_read) => {
                    self.read_head().await;
                    let pause = match self.parts.cell.load() {
                        Some(_) => HEAD_READ_PERIOD,
                        None => FIRST_READ_PERIOD,
                    };
                    next_read = Instant::now() + pause;
                }
            }
        }
    }

    async fn obey(&self, command: ConfigCommand) {
        match command {
            ConfigCommand::Submit(request, body, reply) => {
                let _ = reply.send(self.submit(request, body).await);
            }
            ConfigCommand::Show(reply) => {
                let _ = reply.send(self.show());
            }
            ConfigCommand::History(reply) => {
                let _ = reply.send(HttpReply::json(StatusCode::OK, &json!([])));
            }
            ConfigCommand::Behind { peer, revision } => self.pull(peer, revision).await,
        }
    }

    fn revision(&self) -> u64 {
        self.parts.cell.load().map_or(0, |config| config.revision())
    }

    async fn read_head(&self) {
        let request = TableRequest::Read(RowKey::new(HEAD_KEY));
        let reply = self.parts.store.request(request, STORE_DEADLINE, StoreUse::Config).await;
        let TableReply::Rows(rows) = reply else { return };
        if let Some(config) = rows.first().and_then(decode) {
            self.put_in_force(config).await;
        }
    }

    async fn put_in_force(&self, config: ConfigInForce) {
        let revision = config.revision();
        if revision <= self.revision() {
            return;
        }
        let config = Arc::new(config);
        self.parts.cell.store(config.clone());
        self.parts.dispatch.tell(DispatchCommand::Configure(config)).await;
        // A closed ring means that the process stops.
        let _ = self.parts.gossip.send(GossipCommand::SetRevision(revision)).await;
    }

    async fn pull(&self, peer: NodeId, revision: u64) {
        if revision <= self.revision() {
            return;
        }
        let (reply, receiver) = oneshot::channel();
        let command = DispatchCommand::PullConfig { peer, since: self.revision(), reply };
        self.parts.dispatch.tell(command).await;
        let Ok(Some(delta)) = receiver.await else { return };
        if let Ok(config) = serde_json::from_slice(&delta) {
            self.put_in_force(config).await;
        }
    }

    fn show(&self) -> HttpReply {
        match self.parts.cell.load() {
            Some(config) => HttpReply::json(StatusCode::OK, config.document()),
            None => HttpReply::json(StatusCode::NOT_FOUND, &json!({ "message": "no schema yet" })),
        }
    }

    async fn submit(&self, request: SubmitRequest, body: Bytes) -> HttpReply {
        let document = match std::str::from_utf8(&body).map(SchemaDocument::from_yaml) {
            Ok(Ok(document)) => document,
            Ok(Err(errors)) => {
                let body = json!({ "message": errors.to_string() });
                return HttpReply::json(StatusCode::UNPROCESSABLE_ENTITY, &body);
            }
            Err(err) => {
                let body = json!({ "message": err.to_string() });
                return HttpReply::json(StatusCode::UNPROCESSABLE_ENTITY, &body);
            }
        };
        let config = ConfigInForce::new(request.expected + 1, document);
        match self.write_head(&request, &config).await {
            TableReply::Committed => {
                let revision = config.revision();
                self.put_in_force(config).await;
                HttpReply::json(StatusCode::OK, &json!({ "revision": revision }))
            }
            TableReply::Conflict(_) => {
                HttpReply::json(StatusCode::CONFLICT, &json!({ "reason": "conflict" }))
            }
            _ => HttpReply::json(
                StatusCode::SERVICE_UNAVAILABLE,
                &json!({ "message": "the table service does not answer" }),
            ),
        }
    }

    async fn write_head(&self, request: &SubmitRequest, config: &ConfigInForce) -> TableReply {
        let condition = match request.expected {
            0 => RowCondition::Absent,
            revision => RowCondition::Version(coltsfootroute::table::RowVersion(revision)),
        };
        let write = RowWrite {
            key: RowKey::new(HEAD_KEY),
            condition,
            value: serde_json::to_string(config).ok(),
        };
        let request = TableRequest::Transact(vec![write]);
        self.parts.store.request(request, STORE_DEADLINE, StoreUse::Config).await
    }
}

fn decode(row: &StoredRow) -> Option<ConfigInForce> {
    serde_json::from_str(&row.value).ok()
}
