//! Handle of the store thread.

use std::time::Duration;

use bytes::Bytes;
use coltsfootroute::{
    once::{TaskReply, TaskRequest},
    table::{ObjectReply, StoreUse, TableReply, TableRequest},
};
use tokio::{
    sync::{mpsc, oneshot},
    time::Instant,
};

use super::{
    EraCell,
    store_command::{ObjectAction, StoreCommand},
};

/// Sends requests to the store thread; cheap to clone. The thread ends when the last handle has been dropped and the
/// requests in flight have finished.
#[derive(Clone, Debug)]
pub struct StoreHandle {
    commands: mpsc::Sender<StoreCommand>,
    eras: EraCell,
}

impl StoreHandle {
    pub(super) fn new(commands: mpsc::Sender<StoreCommand>, eras: EraCell) -> Self {
        Self { commands, eras }
    }

    /// Returns the cell of the eras that the store has stated.
    pub fn eras(&self) -> &EraCell {
        &self.eras
    }

    /// Sends `request` to the table service; the reply comes within `deadline` from now.
    ///
    /// `Unavailable` means that the request certainly had no effect: it was not sent, or the service refused it.
    /// `Uncertain` means that a write may have taken effect, or may still take effect later.
    pub async fn request(
        &self,
        request: TableRequest,
        deadline: Duration,
        store_use: StoreUse,
    ) -> TableReply {
        let (reply, received) = oneshot::channel();
        let deadline = Instant::now() + deadline;
        let command = StoreCommand::Table { request, store_use, deadline, reply };
        if self.commands.try_send(command).is_err() {
            return TableReply::Unavailable;
        }
        received.await.unwrap_or(TableReply::Uncertain)
    }

    /// Stores `body` under `name` within `deadline` from now. Safe to repeat with the same body.
    pub async fn put_object(&self, name: &str, body: Bytes, deadline: Duration) -> ObjectReply {
        self.object(ObjectAction::Put { name: name.to_owned(), body }, deadline).await
    }

    /// Reads the object called `name` within `deadline` from now.
    pub async fn get_object(&self, name: &str, deadline: Duration) -> ObjectReply {
        self.object(ObjectAction::Get { name: name.to_owned() }, deadline).await
    }

    /// Runs a task of at-most-once execution within `deadline` from now.
    pub async fn run_task(&self, request: TaskRequest, deadline: Duration) -> TaskReply {
        match request {
            TaskRequest::Table(request) => {
                TaskReply::Table(self.request(request, deadline, StoreUse::Answer).await)
            }
            TaskRequest::PutObject { name, body } => {
                TaskReply::Object(self.put_object(&name, body.into(), deadline).await)
            }
        }
    }

    async fn object(&self, action: ObjectAction, deadline: Duration) -> ObjectReply {
        let (reply, received) = oneshot::channel();
        let deadline = Instant::now() + deadline;
        let command = StoreCommand::Object { action, deadline, reply };
        if self.commands.try_send(command).is_err() {
            return ObjectReply::Unavailable;
        }
        received.await.unwrap_or(ObjectReply::Uncertain)
    }
}
