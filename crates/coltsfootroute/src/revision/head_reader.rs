//! Reads the newest configuration.

use super::{ChainDigest, HeadRow, ReaderStep, RevisionRow, RowFault, schema_rows};
use crate::table::{StoredRow, TableReply, TableRequest};

/// Reads `schema/head`, then the revision that it names. Gives `None` if there is no configuration yet, or
/// none but the one held.
#[derive(Clone, Debug, Default)]
pub struct HeadReader {
    /// Chain digest of the revision held, whose row need not be read again.
    held: Option<ChainDigest>,
    head: Option<HeadRow>,
}

impl HeadReader {
    /// A reader that hasn't sent anything yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Leaves out the row of the revision held: it is by far the larger of the two.
    pub fn with_held_chain(self, held: Option<ChainDigest>) -> Self {
        Self { held, ..self }
    }

    /// The first request.
    pub fn start(&mut self) -> TableRequest {
        self.head = None;
        TableRequest::Read(schema_rows::head_key())
    }

    /// Takes the reply to the last request.
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
