//! Condition of a write.

use super::RowVersion;

value_type! {
    /// Condition on a row that must hold for the transaction to take effect.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum RowCondition {
        /// The row does not exist.
        Absent,
        /// The row exists with this version.
        Version(RowVersion),
        /// No condition.
        Any,
    }
}
