//! Row as stored by the table service.

use super::{RowKey, RowVersion};

record_type! {
    /// Row as stored by the table service.
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
