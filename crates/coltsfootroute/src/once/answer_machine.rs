//! The state machine that stores how a run ended.

use super::{
    AnswerBody, BodyDigest, ClaimDetails, ClaimRecord, RunAnswer, StoredAnswer, TaskReply,
    TaskRequest, row_view,
};
use crate::table::{ObjectReply, RowKey, RowVersion, TableReply};

record_type! {
    /// Stores the end of a run over its claim. Every request may be sent again: the object has one
    /// content, and the write is conditional on the claim's version.
    pub struct AnswerMachine {
        claim: ClaimDetails,
        row_key: RowKey,
        /// Version at which the claim stands.
        version: RowVersion,
        record: ClaimRecord,
        /// Large body that has still to be stored.
        object: Option<Vec<u8>>,
    }
}

/// What came of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerProgress {
    /// More is to be sent.
    Next,
    /// The store didn't answer: try again later.
    Retry,
    /// Settled: the end is stored, or the key's record has expired meanwhile.
    Settled,
}

impl AnswerMachine {
    /// Stores a complete answer; a body of more than `max_inline_bytes` bytes as an object.
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

    /// How the run ended, as far as repeats at this guard can be told: an answer whose body isn't stored
    /// yet can't be replayed.
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
            // Only this holder and the sweeper write over a claim: the row is the own earlier write,
            // whose answer was lost, or a record that has expired.
            TaskReply::Table(TableReply::Conflict(_)) => AnswerProgress::Settled,
            TaskReply::Table(_) => AnswerProgress::Retry,
        }
    }
}
