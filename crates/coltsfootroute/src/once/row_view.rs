//! Row of one key, as contained in a reply.

use super::ClaimRecord;
use crate::table::{RowCondition, RowKey, RowVersion, RowWrite, StoredRow, TableRequest};

record_type! {
    /// The row of a key.
    #[expect(clippy::large_enum_variant, reason = "short-lived, on the stack only")]
    pub(super) enum RowView {
        /// The row doesn't exist.
        Absent,
        /// Version and parsed record of the row.
        Present(RowVersion, ClaimRecord),
        /// The row holds a value that this version can't read.
        Unreadable,
    }
}

impl RowView {
    /// Finds the row `key` in `rows` and parses it.
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

/// Returns the version of a row after a write at version `base`, where `None` means no row.
pub(super) fn version_after(base: Option<RowVersion>) -> RowVersion {
    RowVersion(base.map_or(1, |version| version.0 + 1))
}

/// Creates a request that writes `record` to `key` if the row is at version `base`, where `None` means
/// no row.
pub(super) fn write(key: &RowKey, base: Option<RowVersion>, record: &ClaimRecord) -> TableRequest {
    let condition = base.map_or(RowCondition::Absent, RowCondition::Version);
    let value = Some(record.to_value());
    TableRequest::Transact(vec![RowWrite { key: key.clone(), condition, value }])
}
