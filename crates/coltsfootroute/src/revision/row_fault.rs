//! Faults of stored rows.

use crate::table::RowKey;

record_type! {
    /// A row of the table service that can't be what this library wrote.
    #[derive(thiserror::Error)]
    #[error("row {key}: {message}")]
    pub struct RowFault {
        /// The row.
        pub key: RowKey,
        /// What is wrong.
        pub message: String,
    }
}
