//! In-memory table for stand-ins and tests.

use std::{collections::BTreeMap, ops::Bound};

use super::{RowCondition, RowKey, RowVersion, RowWrite, StoredRow, TableReply, TableRequest};

/// In-memory table with the semantics of the platform's service.
///
/// The version of a row that is deleted and written again restarts at 1, so a client that relies on versions must not
/// delete rows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemoryTable {
    rows: BTreeMap<String, RowState>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct RowState {
    version: u64,
    value: String,
}

impl MemoryTable {
    /// Executes `request` atomically.
    pub fn apply(&mut self, request: &TableRequest) -> TableReply {
        match request {
            TableRequest::Read(key) => TableReply::Rows(self.row(key).into_iter().collect()),
            TableRequest::Scan { prefix, after, limit } => {
                TableReply::Rows(self.scan(prefix, after, *limit))
            }
            TableRequest::Transact(writes) => self.transact(writes),
        }
    }

    fn row(&self, key: &RowKey) -> Option<StoredRow> {
        self.rows.get(key.as_str()).map(|row| stored(key.as_str(), row))
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Vec<StoredRow> {
        let start = if after < prefix {
            Bound::Included(prefix.to_owned())
        } else {
            Bound::Excluded(after.to_owned())
        };
        self.rows
            .range((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit)
            .map(|(key, row)| stored(key, row))
            .collect()
    }

    fn transact(&mut self, writes: &[RowWrite]) -> TableReply {
        let failed: Vec<&RowWrite> =
            writes.iter().filter(|write| !self.condition_holds(write)).collect();
        if !failed.is_empty() {
            let mut keys: Vec<&RowKey> = failed.iter().map(|write| &write.key).collect();
            keys.sort();
            keys.dedup();
            return TableReply::Conflict(
                keys.into_iter().filter_map(|key| self.row(key)).collect(),
            );
        }
        for write in writes {
            self.write(write);
        }
        TableReply::Committed
    }

    fn condition_holds(&self, write: &RowWrite) -> bool {
        let version = self.rows.get(write.key.as_str()).map(|row| row.version);
        match write.condition {
            RowCondition::Absent => version.is_none(),
            RowCondition::Version(wanted) => version == Some(wanted.0),
            RowCondition::Any => true,
        }
    }

    fn write(&mut self, write: &RowWrite) {
        let Some(value) = &write.value else {
            self.rows.remove(write.key.as_str());
            return;
        };
        let row = self
            .rows
            .entry(write.key.as_str().to_owned())
            .or_insert_with(|| RowState { version: 0, value: String::new() });
        row.version += 1;
        row.value.clone_from(value);
    }
}

fn stored(key: &str, row: &RowState) -> StoredRow {
    StoredRow { key: RowKey::new(key), version: RowVersion(row.version), value: row.value.clone() }
}
