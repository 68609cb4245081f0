//! One write of a transaction.

use super::{RowCondition, RowKey};

record_type! {
    /// One write of a transaction: stores `value` under `key`, or deletes the row if `value` is `None`.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct RowWrite {
        /// Key of the written row.
        pub key: RowKey,
        /// Condition on the row before the write.
        pub condition: RowCondition,
        /// New value, as JSON text; `None` deletes the row.
        pub value: Option<String>,
    }
}
