//! In-memory table service that also records the commits for the test oracle.

use coltsfootroute::{
    schema::SchemaDocument,
    table::{RowCondition, RowKey, RowVersion, RowWrite, StoredRow, TableReply, TableRequest},
};
use std::collections::BTreeMap;

/// Configuration after one transaction, read from the rows without the library's own code.
#[derive(Clone, Debug, PartialEq)]
pub struct Commit {
    pub revision: u64,
    pub key: String,
    pub document: SchemaDocument,
}

#[derive(Debug, Default)]
pub struct FakeTable {
    rows: BTreeMap<RowKey, StoredRow>,
    /// Every change of the head row, in order.
    pub commits: Vec<Commit>,
}

impl FakeTable {
    pub fn execute(&mut self, request: &TableRequest) -> TableReply {
        match request {
            TableRequest::Read(key) => {
                TableReply::Rows(self.rows.get(key).cloned().into_iter().collect())
            }
            TableRequest::Scan { prefix, after, limit } => {
                let rows = self.rows.values().filter(|row| row.key.as_str().starts_with(prefix));
                let rows = rows.filter(|row| row.key.as_str() > after.as_str());
                TableReply::Rows(rows.take(*limit).cloned().collect())
            }
            TableRequest::Transact(writes) => self.transact(writes),
        }
    }

    fn transact(&mut self, writes: &[RowWrite]) -> TableReply {
        let blocked = writes.iter().filter(|write| !self.holds(write));
        let conflicting: Vec<_> =
            blocked.filter_map(|write| self.rows.get(&write.key)).cloned().collect();
        if writes.iter().any(|write| !self.holds(write)) {
            return TableReply::Conflict(conflicting);
        }
        for write in writes {
            self.write(write);
        }
        self.record_commit(writes);
        TableReply::Committed
    }

    fn holds(&self, write: &RowWrite) -> bool {
        let version = self.rows.get(&write.key).map(|row| row.version);
        match write.condition {
            RowCondition::Absent => version.is_none(),
            RowCondition::Version(expected) => version == Some(expected),
            RowCondition::Any => true,
        }
    }

    fn write(&mut self, write: &RowWrite) {
        let version = self.rows.get(&write.key).map_or(0, |row| row.version.0) + 1;
        let value = write.value.clone().expect("configuration rows are never deleted");
        let row = StoredRow { key: write.key.clone(), version: RowVersion(version), value };
        self.rows.insert(write.key.clone(), row);
    }

    fn record_commit(&mut self, writes: &[RowWrite]) {
        let value = |prefix: &str| -> serde_json::Value {
            let write = writes.iter().find(|write| write.key.as_str().starts_with(prefix));
            let text = write
                .and_then(|write| write.value.as_deref())
                .expect("all rows are written in one transaction");
            serde_json::from_str(text).expect("JSON")
        };
        let head = value("schema/head");
        let document = value("schema/revision/")["document"].clone();
        self.commits.push(Commit {
            revision: head["revision"].as_u64().expect("a number"),
            key: head["key"].as_str().expect("text").to_owned(),
            document: serde_json::from_value(document).expect("a document"),
        });
    }
}
