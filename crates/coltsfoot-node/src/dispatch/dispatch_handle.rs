//! Handle by which the other threads send commands to the dispatch duty.

use std::time::Duration;

use coltsfootroute::{
    id::RequestId,
    outcome::{CallOutcome, RefusalReason},
    quarantine::RequestFingerprint,
};
use http::StatusCode;
use tokio::sync::{mpsc, oneshot};

use super::{DispatchCommand, IncomingCall, UpstreamAnnouncement};
use crate::http::HttpReply;

/// Time after which a caller may retry if the command queue is full or the node is stopping.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Sends commands to the dispatch duty over a bounded queue.
#[derive(Clone)]
pub struct DispatchHandle {
    commands: mpsc::Sender<DispatchCommand>,
}

impl DispatchHandle {
    /// Creates a handle that sends to `commands`.
    pub fn new(commands: mpsc::Sender<DispatchCommand>) -> Self {
        Self { commands }
    }

    /// Serves a call. If the queue is full, refuses the call immediately, so that callers are not blocked.
    pub async fn call(&self, call: IncomingCall) -> HttpReply {
        let (sender, receiver) = oneshot::channel();
        let command = DispatchCommand::Call(Box::new(call), sender);
        if let Err(err) = self.commands.try_send(command) {
            return refuse_unsent(&err);
        }
        receiver.await.unwrap_or_else(|_| {
            HttpReply::refusal(
                RequestId(0),
                RefusalReason::Leaving,
                CallOutcome::Unknown,
                RETRY_AFTER,
            )
        })
    }

    /// Forwards an announcement of the upstream beside the node.
    pub async fn announce(&self, announcement: UpstreamAnnouncement) -> HttpReply {
        self.ask(|reply| DispatchCommand::Announce(announcement, reply)).await
    }

    /// Deregisters the upstream beside the node when it leaves.
    pub async fn withdraw(&self) -> HttpReply {
        self.ask(DispatchCommand::Withdraw).await
    }

    /// Returns the state of the node.
    pub async fn status(&self) -> HttpReply {
        self.ask(DispatchCommand::Status).await
    }

    /// Returns the quarantined requests.
    pub async fn quarantine(&self) -> HttpReply {
        self.ask(DispatchCommand::Quarantine).await
    }

    /// Releases a request from quarantine.
    pub async fn release(&self, fingerprint: RequestFingerprint) -> HttpReply {
        self.ask(|reply| DispatchCommand::Release(fingerprint, reply)).await
    }

    /// Sends a command without waiting for a reply; waits while the queue is full.
    pub async fn tell(&self, command: DispatchCommand) {
        // A closed queue means that the process is stopping.
        let _ = self.commands.send(command).await;
    }

    async fn ask(
        &self,
        command: impl FnOnce(oneshot::Sender<HttpReply>) -> DispatchCommand,
    ) -> HttpReply {
        let (sender, receiver) = oneshot::channel();
        self.tell(command(sender)).await;
        receiver.await.unwrap_or_else(|_| stopping_reply())
    }
}

fn refuse_unsent(err: &mpsc::error::TrySendError<DispatchCommand>) -> HttpReply {
    let reason = match err {
        mpsc::error::TrySendError::Full(_) => RefusalReason::Overload,
        mpsc::error::TrySendError::Closed(_) => RefusalReason::Leaving,
    };
    HttpReply::refusal(RequestId(0), reason, CallOutcome::NotRun, RETRY_AFTER)
}

fn stopping_reply() -> HttpReply {
    let body = serde_json::json!({ "message": "the node is stopping" });
    HttpReply::json(StatusCode::SERVICE_UNAVAILABLE, &body)
}
