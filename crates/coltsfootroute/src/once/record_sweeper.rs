//! Replaces expired records by tombstones.

use super::{AnswerBody, ClaimRecord, OnceKey, StoredAnswer, SweepStep, WallTime};
use crate::table::{RowCondition, RowWrite, StoredRow, TableReply, TableRequest};

record_type! {
    /// One pass over the records, which replaces those whose retention has ended by
    /// [`ClaimRecord::Expired`] in one conditional transaction a page. Concurrent sweeps are safe: the
    /// transaction of one of them fails with a conflict.
    ///
    /// Rows are not deleted: the key is refused as long as its tombstone exists.
    pub struct RecordSweeper {
        now: WallTime,
        page: usize,
        after: String,
        /// Objects of the records in the pending transaction.
        pending_objects: Vec<String>,
        /// Objects that no record refers to any more.
        objects: Vec<String>,
        is_last_page: bool,
    }
}

impl RecordSweeper {
    /// Creates a pass at the time `now`, by pages of `page` rows (at least 1).
    pub fn new(now: WallTime, page: usize) -> Self {
        Self {
            now,
            page: page.max(1),
            after: String::new(),
            pending_objects: Vec::new(),
            objects: Vec::new(),
            is_last_page: false,
        }
    }

    /// Returns the first request.
    pub fn start(&self) -> TableRequest {
        TableRequest::Scan {
            prefix: OnceKey::ROW_PREFIX.to_owned(),
            after: self.after.clone(),
            limit: self.page,
        }
    }

    /// Handles the reply to the last request.
    pub fn on_reply(&mut self, reply: &TableReply) -> SweepStep {
        match reply {
            TableReply::Rows(rows) => self.on_page(rows),
            TableReply::Committed => {
                self.objects.append(&mut self.pending_objects);
                self.next_page()
            }
            // Rows of this page have changed: the next pass processes them again.
            TableReply::Conflict(_) => {
                self.pending_objects.clear();
                self.next_page()
            }
            TableReply::Unavailable | TableReply::Uncertain => self.done(),
        }
    }

    fn on_page(&mut self, rows: &[StoredRow]) -> SweepStep {
        self.is_last_page = rows.len() < self.page;
        if let Some(row) = rows.last() {
            row.key.as_str().clone_into(&mut self.after);
        }
        let writes: Vec<RowWrite> = rows.iter().filter_map(|row| self.shrink(row)).collect();
        if writes.is_empty() {
            return self.next_page();
        }
        SweepStep::Send(TableRequest::Transact(writes))
    }

    fn shrink(&mut self, row: &StoredRow) -> Option<RowWrite> {
        let record = ClaimRecord::parse(&row.value)?;
        if record == ClaimRecord::Expired || !record.is_expired(self.now) {
            return None;
        }
        if let Some(name) = object_of(record) {
            self.pending_objects.push(name);
        }
        let value = Some(ClaimRecord::Expired.to_value());
        let condition = RowCondition::Version(row.version);
        Some(RowWrite { key: row.key.clone(), condition, value })
    }

    fn next_page(&mut self) -> SweepStep {
        if self.is_last_page { self.done() } else { SweepStep::Send(self.start()) }
    }

    fn done(&mut self) -> SweepStep {
        SweepStep::Done { objects: std::mem::take(&mut self.objects) }
    }
}

fn object_of(record: ClaimRecord) -> Option<String> {
    match record {
        ClaimRecord::Finished {
            answer: StoredAnswer { body: AnswerBody::Object { name, .. }, .. },
            ..
        } => Some(name),
        _ => None,
    }
}
