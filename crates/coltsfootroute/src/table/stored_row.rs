//! A row as stored.

use super::{RowKey, RowVersion};

record_type! {
    /// A row as the table service holds it.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct StoredRow {
        /// Key of the row.
        pub key: RowKey,
        /// Version of the row.
        pub version: RowVersion,
        /// Value, as JSON text.
        pub value: String,
    }
}
