//! Reads and writes of the row by which a node finds its upstream again after a restart.

use std::cell::Cell;

use coltsfootroute::table::{RowCondition, RowKey, RowWrite, TableReply, TableRequest};

use super::{IntroductionStore, UpstreamRow};
use crate::journal::LOG_TARGET;

/// Reads and writes of the row by which a node finds its upstream again after a restart.
///
/// The row is written only over the version that was last read. A write without an answer may be carried out seconds
/// later; its condition has failed by then if a later write stands, so that it never undoes a leave.
pub(super) struct UpstreamRowWriter {
    store: IntroductionStore,
    key: RowKey,
    /// What the next write finds; `None` until it is read, and again after each write.
    expected: Cell<Option<RowCondition>>,
}

impl UpstreamRowWriter {
    /// Nothing has been read yet of the row `key`.
    pub(super) fn new(store: IntroductionStore, key: RowKey) -> Self {
        Self { store, key, expected: Cell::default() }
    }

    /// What the row says: `Err` where the store has not told, `Ok(None)` where there is none that can be used.
    pub(super) async fn read(&self) -> Result<Option<UpstreamRow>, RowReadError> {
        let read = TableRequest::Read(self.key.clone());
        let TableReply::Rows(rows) = self.store.read_own(read).await else {
            return Err(RowReadError);
        };
        let Some(row) = rows.first() else {
            self.expected.set(Some(RowCondition::Absent));
            return Ok(None);
        };
        self.expected.set(Some(RowCondition::Version(row.version)));
        match serde_json::from_str(&row.value) {
            Ok(row) => Ok(Some(row)),
            Err(err) => {
                log::warn!(
                    target: LOG_TARGET,
                    "level=warn event=upstream-row-faulty error={:?}", err.to_string()
                );
                Ok(None)
            }
        }
    }

    /// Writes or removes the row together with `others`; returns whether all of it stands for certain.
    pub(super) async fn change(&self, row: Option<&UpstreamRow>, others: Vec<RowWrite>) -> bool {
        let had_condition = self.expected.get().is_some();
        match self.write_over(row, &others).await {
            TableReply::Committed => true,
            // A late write of an earlier life has come in between.
            TableReply::Conflict(_) if had_condition => {
                self.write_over(row, &others).await == TableReply::Committed
            }
            _ => false,
        }
    }

    /// Writes over what was read last, or is read now. What stands after a write is not known.
    async fn write_over(&self, row: Option<&UpstreamRow>, others: &[RowWrite]) -> TableReply {
        if self.expected.get().is_none() && self.read().await.is_err() {
            return TableReply::Unavailable;
        }
        let Some(condition) = self.expected.take() else { return TableReply::Unavailable };
        // Names, addresses and numbers always have a JSON form.
        let value = row.and_then(|row| serde_json::to_string(row).ok());
        let mut writes = others.to_vec();
        if value.is_some() || condition != RowCondition::Absent {
            writes.push(RowWrite { key: self.key.clone(), condition, value });
        }
        self.store.change_own(TableRequest::Transact(writes)).await
    }
}

/// The store has not told what the row says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RowReadError;
