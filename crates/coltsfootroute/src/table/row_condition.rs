//! Condition of a write.

use super::RowVersion;

value_type! {
    /// What must hold of a row for the transaction to take effect.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum RowCondition {
        /// There is no such row.
        Absent,
        /// The row stands at this version.
        Version(RowVersion),
        /// Anything.
        Any,
    }
}
