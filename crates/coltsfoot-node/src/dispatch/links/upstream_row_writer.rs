//! Reads and writes the row by which a node finds its upstream again after a restart.

use std::cell::Cell;

use coltsfootroute::table::{RowCondition, RowKey, RowWrite, TableReply, TableRequest};

use super::{IntroductionStore, UpstreamRow};
use crate::journal::LOG_TARGET;

/// Reads and writes the row by which a node finds its upstream again after a restart.
///
/// The row is written only over the version that was last read. An unanswered write may be executed seconds later; if a
/// later write has been committed by then, its condition fails, so it never undoes a leave.
pub(super) struct UpstreamRowWriter {
    store: IntroductionStore,
    key: RowKey,
    /// Condition of the next write; `None` until the row has been read, and again after each write.
    expected: Cell<Option<RowCondition>>,
}

impl UpstreamRowWriter {
    /// Creates a writer for the row `key`, which has not been read yet.
    pub(super) fn new(store: IntroductionStore, key: RowKey) -> Self {
        Self { store, key, expected: Cell::default() }
    }

    /// Reads the row; returns `Ok(None)` if there is no usable row.
    ///
    /// # Errors
    ///
    /// [`RowReadError`] if the store has not returned the row.
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

    /// Forgets the version that was last read: it may be given out again for another state of the row.
    pub(super) fn forget_version(&self) {
        self.expected.take();
    }

    /// Writes or removes the row together with `others`; returns whether the transaction is known to be committed.
    pub(super) async fn change(&self, row: Option<&UpstreamRow>, others: Vec<RowWrite>) -> bool {
        let had_condition = self.expected.get().is_some();
        match self.write_over(row, &others).await {
            TableReply::Committed => true,
            // A delayed write of an earlier incarnation has changed the row.
            TableReply::Conflict(_) if had_condition => {
                self.write_over(row, &others).await == TableReply::Committed
            }
            _ => false,
        }
    }

    /// Writes over the version that was last read, or reads it first. The version after a write is not known.
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
        if writes.is_empty() {
            return TableReply::Committed;
        }
        self.store.change_own(TableRequest::Transact(writes)).await
    }
}

/// Error of a read that the store has not answered with rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RowReadError;
