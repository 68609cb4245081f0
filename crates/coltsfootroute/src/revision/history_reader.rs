//! State machine that reads the history from the table service.

use super::{ReaderStep, Revision, RevisionRecord, RowFault, schema_rows};
use crate::table::{StoredRow, TableReply, TableRequest};

/// Maximum number of rows in a page. Each row holds a whole configuration of up to
/// [`MAX_SCHEMA_BYTES`](crate::schema) as submitted, and a reply of the table service is limited to four times that
/// size.
const PAGE_ROWS: usize = 4;

/// Reads revision records page by page, oldest first.
#[derive(Clone, Debug)]
pub struct HistoryReader {
    after: Revision,
    limit: usize,
    records: Vec<RevisionRecord>,
}

impl HistoryReader {
    /// Creates a reader of at most `limit` records after revision `after`.
    pub fn new(after: Revision, limit: usize) -> Self {
        Self { after, limit, records: Vec::new() }
    }

    /// Returns the first request.
    pub fn start(&mut self) -> TableRequest {
        self.records.clear();
        self.page_request()
    }

    /// Handles the reply to the last request and returns the next step.
    pub fn handle_reply(&mut self, reply: &TableReply) -> ReaderStep<Vec<RevisionRecord>> {
        let TableReply::Rows(rows) = reply else {
            return ReaderStep::Unavailable;
        };
        if let Err(fault) = self.append_records(rows) {
            return ReaderStep::Faulty(fault);
        }
        if rows.is_empty() || self.records.len() >= self.limit {
            return ReaderStep::Done(std::mem::take(&mut self.records));
        }
        ReaderStep::Send(self.page_request())
    }

    fn append_records(&mut self, rows: &[StoredRow]) -> Result<(), RowFault> {
        for row in rows {
            self.records.push(schema_rows::decode_revision(row)?.record);
        }
        Ok(())
    }

    fn page_request(&self) -> TableRequest {
        let after = self.records.last().map_or(self.after, |record| record.revision);
        TableRequest::Scan {
            prefix: schema_rows::REVISION_PREFIX.to_owned(),
            after: schema_rows::revision_key(after).as_str().to_owned(),
            limit: PAGE_ROWS.min(self.limit - self.records.len()),
        }
    }
}
