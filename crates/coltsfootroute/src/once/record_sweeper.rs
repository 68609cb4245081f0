//! Turns expired records into small ones.

use super::{AnswerBody, ClaimRecord, OnceKey, StoredAnswer, SweepStep, WallTime};
use crate::table::{RowCondition, RowWrite, StoredRow, TableReply, TableRequest};

record_type! {
    /// One pass over the records: those whose retention has ended become [`ClaimRecord::Expired`], one
    /// conditional transaction a page. Two sweeps at once do no harm: one of them meets a conflict.
    ///
    /// Nothing is deleted: as long as the small record stands, the key is refused.
    pub struct RecordSweeper {
        now: WallTime,
        page: usize,
        after: String,
        /// Objects of the transaction under way.
        pending_objects: Vec<String>,
        /// Objects that no record refers to any more.
        objects: Vec<String>,
        is_last_page: bool,
    }
}

impl RecordSweeper {
    /// A pass by pages of `page` rows, at least 1, at the time `now`.
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

    /// The first request.
    pub fn start(&self) -> TableRequest {
        TableRequest::Scan {
            prefix: OnceKey::ROW_PREFIX.to_owned(),
            after: self.after.clone(),
            limit: self.page,
        }
    }

    /// Takes the reply to the last request.
    pub fn on_reply(&mut self, reply: &TableReply) -> SweepStep {
        match reply {
            TableReply::Rows(rows) => self.on_page(rows),
            TableReply::Committed => {
                self.objects.append(&mut self.pending_objects);
                self.next_page()
            }
            // Rows of this page have moved on: the next pass takes it again.
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
