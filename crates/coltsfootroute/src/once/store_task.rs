//! Background requests to the store, which no caller waits for.

use super::ClaimId;
use crate::table::{ObjectReply, TableReply, TableRequest};

record_type! {
    /// A background request for a claim. Its reply goes to
    /// [`OnceGuard::on_task_reply`](super::OnceGuard::on_task_reply).
    pub struct StoreTask {
        /// Identifier of the claim.
        pub claim_id: ClaimId,
        /// The request.
        pub request: TaskRequest,
    }
}

record_type! {
    /// A request to the table service or to the object store.
    pub enum TaskRequest {
        /// To the table service.
        Table(TableRequest),
        /// Stores an object.
        PutObject {
            /// Name of the object.
            name: String,
            /// Its whole content.
            body: Vec<u8>,
        },
    }
}

record_type! {
    /// Reply to a [`TaskRequest`].
    pub enum TaskReply {
        /// From the table service.
        Table(TableReply),
        /// From the object store.
        Object(ObjectReply),
    }
}
