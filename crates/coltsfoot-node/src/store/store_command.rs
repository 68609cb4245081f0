//! Commands to the store thread.

use bytes::Bytes;
use coltsfootroute::table::{ObjectReply, StoreUse, TableReply, TableRequest};
use tokio::{sync::oneshot, time::Instant};

/// One request to the platform, with the channel for its reply.
#[derive(Debug)]
pub(super) enum StoreCommand {
    /// A request to the table service.
    Table {
        request: TableRequest,
        store_use: StoreUse,
        deadline: Instant,
        reply: oneshot::Sender<TableReply>,
    },
    /// Stores or reads an object.
    Object { action: ObjectAction, deadline: Instant, reply: oneshot::Sender<ObjectReply> },
}

/// Operation on an object. Each is idempotent: an object is written only once under its name.
#[derive(Clone, Debug)]
pub(super) enum ObjectAction {
    Put { name: String, body: Bytes },
    Get { name: String },
}
