//! Reads and writes of the row by which a node finds its upstream again after a restart.

use coltsfootroute::table::{RowCondition, RowKey, RowWrite, TableReply, TableRequest};

use super::{IntroductionStore, UpstreamRow};
use crate::journal::LOG_TARGET;

/// Reads and writes of the row by which a node finds its upstream again after a restart.
pub(super) struct UpstreamRowWriter {
    store: IntroductionStore,
    key: RowKey,
}

impl UpstreamRowWriter {
    /// The row `key`.
    pub(super) fn new(store: IntroductionStore, key: RowKey) -> Self {
        Self { store, key }
    }

    /// What the row says: `Err` where the store has not told, `Ok(None)` where there is none that can be used.
    pub(super) async fn read(&self) -> Result<Option<UpstreamRow>, RowUnread> {
        let read = TableRequest::Read(self.key.clone());
        let TableReply::Rows(rows) = self.store.read_own(read).await else {
            return Err(RowUnread);
        };
        let Some(row) = rows.first() else { return Ok(None) };
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
        // Names, addresses and numbers always have a JSON form.
        let value = row.and_then(|row| serde_json::to_string(row).ok());
        let mut writes = others;
        writes.push(RowWrite { key: self.key.clone(), condition: RowCondition::Any, value });
        self.store.change_own(TableRequest::Transact(writes)).await
    }
}

/// The store has not told what the row says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RowUnread;
