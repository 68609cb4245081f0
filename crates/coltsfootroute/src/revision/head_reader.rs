//! State machine that reads the newest configuration from the table service.

use super::{ChainDigest, HeadRow, ReaderStep, RevisionRow, RowFault, schema_rows};
use crate::table::{StoredRow, TableReply, TableRequest};

/// Reads `schema/head`, then the row of the revision that it names. The result is `None` if there is no
/// configuration yet or the newest one is already held.
#[derive(Clone, Debug, Default)]
pub struct HeadReader {
    /// Chain digest of the revision held, whose row isn't read again.
    held: Option<ChainDigest>,
    head: Option<HeadRow>,
}

impl HeadReader {
    /// Creates a reader that has sent no request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Skips the row of the revision whose chain digest is `held`: it is far larger than the head row.
    pub fn with_held_chain(self, held: Option<ChainDigest>) -> Self {
        Self { held, ..self }
    }

    /// Returns the first request.
    pub fn start(&mut self) -> TableRequest {
        self.head = None;
        TableRequest::Read(schema_rows::head_key())
    }

    /// Handles the reply to the last request and returns the next step.
    pub fn handle_reply(&mut self, reply: &TableReply) -> ReaderStep<Option<RevisionRow>> {
        let TableReply::Rows(rows) = reply else {
            return ReaderStep::Unavailable;
        };
        match self.head.take() {
            None => self.handle_head(rows.first()),
            Some(head) => handle_revision(&head, rows.first()),
        }
        .unwrap_or_else(ReaderStep::Faulty)
    }

    fn handle_head(
        &mut self,
        row: Option<&StoredRow>,
    ) -> Result<ReaderStep<Option<RevisionRow>>, RowFault> {
        let Some(row) = row else {
            return Ok(ReaderStep::Done(None));
        };
        let head: HeadRow = schema_rows::decode(row)?;
        if self.held == Some(head.chain) {
            return Ok(ReaderStep::Done(None));
        }
        let key = schema_rows::revision_key(head.revision);
        self.head = Some(head);
        Ok(ReaderStep::Send(TableRequest::Read(key)))
    }
}

fn handle_revision(
    head: &HeadRow,
    row: Option<&StoredRow>,
) -> Result<ReaderStep<Option<RevisionRow>>, RowFault> {
    let key = schema_rows::revision_key(head.revision);
    let row = row.ok_or_else(|| schema_rows::fault(&key, "missing".to_owned()))?;
    let revision = schema_rows::decode_revision(row)?;
    if revision.record.chain != head.chain {
        return Err(schema_rows::fault(&key, "not the record that the head names".to_owned()));
    }
    Ok(ReaderStep::Done(Some(revision)))
}
