//! Replies of the table service.

use super::StoredRow;

record_type! {
    /// Reply to a [`TableRequest`](super::TableRequest).
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum TableReply {
        /// Rows that were read, in order of their keys; empty for a read of an absent row.
        Rows(Vec<StoredRow>),
        /// All writes of the transaction took effect.
        Committed,
        /// No write took effect, because a condition did not hold. Contains the current rows whose conditions failed.
        Conflict(Vec<StoredRow>),
        /// The service certainly did not execute the request.
        Unavailable,
        /// No reply was received, so a write may or may not have taken effect.
        Uncertain,
    }
}
