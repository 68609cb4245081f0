//! Error for an invalid stored row.

use crate::table::RowKey;

record_type! {
    /// Error for a row of the table service that is missing or differs from anything that this library writes.
    #[derive(thiserror::Error)]
    #[error("row {key}: {message}")]
    pub struct RowFault {
        /// Key of the row.
        pub key: RowKey,
        /// Description of the fault.
        pub message: String,
    }
}
