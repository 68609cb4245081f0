//! One write of a transaction.

use super::{RowCondition, RowKey};

record_type! {
    /// One write: put `value` under `key`, or delete the row where `value` is absent.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct RowWrite {
        /// Row written.
        pub key: RowKey,
        /// Condition on the row before the write.
        pub condition: RowCondition,
        /// New value, as JSON text; `None` deletes the row.
        pub value: Option<String>,
    }
}
