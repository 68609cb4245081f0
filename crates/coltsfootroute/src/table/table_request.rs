//! Requests to the table service.

use super::{RowKey, RowWrite};

record_type! {
    /// A request to the table service.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum TableRequest {
        /// Reads one row, linearizably.
        Read(RowKey),
        /// Reads up to `limit` rows whose keys start with `prefix` and sort after `after`.
        Scan {
            /// Common prefix of the keys.
            prefix: String,
            /// Last key of the previous page; empty for the first page.
            after: String,
            /// Maximum number of rows to return.
            limit: usize,
        },
        /// Executes all writes atomically, or none if a condition does not hold.
        Transact(Vec<RowWrite>),
    }
}

impl TableRequest {
    /// Returns whether the request may change rows.
    pub fn is_write(&self) -> bool {
        matches!(self, Self::Transact(_))
    }
}
