//! Replies of the table service.

use super::StoredRow;

record_type! {
    /// What came back for a [`TableRequest`](super::TableRequest).
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum TableReply {
        /// The rows read, in order of their keys; a read of an absent row gives none.
        Rows(Vec<StoredRow>),
        /// All writes of the transaction took effect.
        Committed,
        /// No write took effect: a condition did not hold. Carries the rows in the way, as they are.
        Conflict(Vec<StoredRow>),
        /// The service provably did not carry out the request.
        Unavailable,
        /// No answer came: a write may or may not have taken effect.
        Uncertain,
    }
}
