//! The row of one key, as a reply shows it.

use super::ClaimRecord;
use crate::table::{RowCondition, RowKey, RowVersion, RowWrite, StoredRow, TableRequest};

record_type! {
    /// The row of a key.
    #[expect(clippy::large_enum_variant, reason = "short-lived, on the stack only")]
    pub(super) enum RowView {
        /// There is no row.
        Absent,
        /// The row, parsed.
        Present(RowVersion, ClaimRecord),
        /// The row holds something that this version can't read.
        Unreadable,
    }
}

impl RowView {
    /// The row `key` among `rows`.
    pub(super) fn of(key: &RowKey, rows: &[StoredRow]) -> Self {
        let Some(row) = rows.iter().find(|row| row.key == *key) else {
            return Self::Absent;
        };
        match ClaimRecord::parse(&row.value) {
            Some(record) => Self::Present(row.version, record),
            None => Self::Unreadable,
        }
    }
}

/// The version that a write gives to a row at `base`, where `None` stands for no row.
pub(super) fn version_after(base: Option<RowVersion>) -> RowVersion {
    RowVersion(base.map_or(1, |version| version.0 + 1))
}

/// Writes `record` to `key` if the row stands at `base`, where `None` stands for no row.
pub(super) fn write(key: &RowKey, base: Option<RowVersion>, record: &ClaimRecord) -> TableRequest {
    let condition = base.map_or(RowCondition::Absent, RowCondition::Version);
    let value = Some(record.to_value());
    TableRequest::Transact(vec![RowWrite { key: key.clone(), condition, value }])
}
