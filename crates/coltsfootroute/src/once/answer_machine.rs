//! State machine that stores the result of a run.

use super::{
    AnswerBody, BodyDigest, ClaimDetails, ClaimRecord, RunAnswer, StoredAnswer, TaskReply,
    TaskRequest, row_view,
};
use crate::table::{ObjectReply, RowKey, RowVersion, TableReply};

record_type! {
    /// Overwrites a claim with the result of its run. Every request may be sent again: the content of
    /// the object never changes, and the write is conditional on the claim's version.
    pub struct AnswerMachine {
        claim: ClaimDetails,
        row_key: RowKey,
        /// Version of the row that holds the claim.
        version: RowVersion,
        record: ClaimRecord,
        /// Large body that is not stored yet.
        object: Option<Vec<u8>>,
    }
}

/// Progress after the reply to one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerProgress {
    /// Another request is to be sent.
    Next,
    /// The store didn't answer; the request is sent again after a delay.
    Retry,
    /// The result is stored, or the key's record has expired in the meantime.
    Settled,
}

impl AnswerMachine {
    /// Stores a complete answer. A body of more than `max_inline_bytes` bytes becomes an object.
    pub(super) fn finished(
        claim: ClaimDetails,
        row_key: RowKey,
        version: RowVersion,
        answer: RunAnswer,
        max_inline_bytes: usize,
    ) -> Self {
        let RunAnswer { status, headers, body } = answer;
        let (body, object) = if body.len() <= max_inline_bytes {
            (AnswerBody::Inline(body), None)
        } else {
            let name = AnswerBody::object_name(claim.claim_id);
            let digest = BodyDigest::of(&body);
            (AnswerBody::Object { name, digest }, Some(body))
        };
        let answer = StoredAnswer { status, headers, body };
        let record = ClaimRecord::Finished { claim, answer };
        Self { claim, row_key, version, record, object }
    }

    /// Stores that the run gave no complete answer.
    pub(super) fn interrupted(claim: ClaimDetails, row_key: RowKey, version: RowVersion) -> Self {
        let record = ClaimRecord::Interrupted(claim);
        Self { claim, row_key, version, record, object: None }
    }

    /// Returns the record for repeats that reach this guard before it is stored; `None` while the body
    /// is still to be stored as an object, since such an answer can't be replayed yet.
    pub(super) fn replayable(&self) -> Option<&ClaimRecord> {
        self.object.is_none().then_some(&self.record)
    }

    pub(super) fn request(&self) -> TaskRequest {
        match &self.object {
            Some(body) => TaskRequest::PutObject {
                name: AnswerBody::object_name(self.claim.claim_id),
                body: body.clone(),
            },
            None => {
                let write = row_view::write(&self.row_key, Some(self.version), &self.record);
                TaskRequest::Table(write)
            }
        }
    }

    pub(super) fn on_reply(&mut self, reply: &TaskReply) -> AnswerProgress {
        match reply {
            TaskReply::Object(ObjectReply::Stored) => {
                self.object = None;
                AnswerProgress::Next
            }
            TaskReply::Object(_) => AnswerProgress::Retry,
            TaskReply::Table(TableReply::Committed) => AnswerProgress::Settled,
            // Only this holder and the sweeper overwrite a claim: the row holds either this machine's
            // earlier write, whose acknowledgement was lost, or an expired record.
            TaskReply::Table(TableReply::Conflict(_)) => AnswerProgress::Settled,
            TaskReply::Table(_) => AnswerProgress::Retry,
        }
    }
}
