//! Handle through which other threads send commands to the configuration duty.

use bytes::Bytes;
use coltsfootroute::{id::NodeId, revision::Revision};
use http::StatusCode;
use tokio::{
    sync::{mpsc, oneshot},
    time::Instant,
};

use super::{AcceptedConfig, ConfigCommand, SubmitRequest};
use crate::http::HttpReply;

/// Sends commands to the configuration duty over a bounded channel.
#[derive(Clone)]
pub struct ConfigHandle {
    commands: mpsc::Sender<ConfigCommand>,
}

impl ConfigHandle {
    /// Creates a handle that sends to `commands`.
    pub fn new(commands: mpsc::Sender<ConfigCommand>) -> Self {
        Self { commands }
    }

    /// Submits a schema and waits for the reply to the operator.
    pub async fn submit(&self, request: SubmitRequest, body: Bytes) -> HttpReply {
        self.request(|reply| ConfigCommand::Submit(request, body, reply)).await
    }

    /// Returns the reply with the schema in force.
    pub async fn show(&self) -> HttpReply {
        self.request(ConfigCommand::Show).await
    }

    /// Returns the reply with the history of revisions: who changed the schema, and when.
    pub async fn history(&self) -> HttpReply {
        self.request(ConfigCommand::History).await
    }

    /// Reports that `peer` has the higher `revision` in force. The report is dropped if the channel is full: the
    /// peer will repeat it.
    pub fn report_peer_ahead(&self, peer: NodeId, revision: Revision) {
        let _ = self.commands.try_send(ConfigCommand::PeerAhead { peer, revision });
    }

    /// Passes on a configuration that another system has accepted; waits while the channel is full.
    pub async fn accept(&self, accepted: AcceptedConfig) {
        let (accepted, notified_at) = (Box::new(accepted), Instant::now());
        // The channel is closed only when the process is stopping.
        let _ = self.commands.send(ConfigCommand::Accepted { accepted, notified_at }).await;
    }

    async fn request(
        &self,
        command: impl FnOnce(oneshot::Sender<HttpReply>) -> ConfigCommand,
    ) -> HttpReply {
        let (sender, receiver) = oneshot::channel();
        if self.commands.send(command(sender)).await.is_err() {
            return stopping_reply();
        }
        receiver.await.unwrap_or_else(|_| stopping_reply())
    }
}

fn stopping_reply() -> HttpReply {
    let body = serde_json::json!({ "message": "the node is stopping" });
    HttpReply::json(StatusCode::SERVICE_UNAVAILABLE, &body)
}
