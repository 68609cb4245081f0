//! A submission as a state machine.

use super::{
    ChainDigest, ContentDigest, HeadRow, KeyRow, Revision, RevisionDraft, RevisionRecord,
    RevisionRow, RowFault, SubmissionRequest, SubmissionResult, SubmissionStep,
    changed_names::changed_names, schema_rows,
};
use crate::{
    name::ServiceName,
    schema::{SchemaDiff, SchemaDocument},
    table::{RowCondition, RowKey, RowVersion, RowWrite, StoredRow, TableReply, TableRequest},
};
use indexmap::IndexMap;

/// Number of failed requests after which a submission is abandoned.
pub const MAX_ATTEMPTS: u32 = 16;

/// Writes one document to the table service by compare-and-set on `schema/head`.
///
/// Reads the head first, then the row of its own idempotency key. In that order, a changed head and an absent key
/// prove that an earlier write with this key that is still in transit can no longer take effect, since it is
/// conditional on the head's old version. While the head is unchanged, the same write can safely be sent again: at
/// most one of the two writes succeeds.
#[derive(Clone, Debug)]
pub struct Submission {
    request: SubmissionRequest,
    content: ContentDigest,
    phase: Phase,
    /// Head row as last read, with its version.
    head: Option<(RowVersion, HeadRow)>,
    /// Number of failed requests.
    attempts: u32,
    /// Whether a write of this submission may have taken effect or may still do so.
    may_take_effect: bool,
}

#[derive(Clone, Debug)]
enum Phase {
    ReadHead,
    ReadKey,
    /// Reads the revision that the submission with this key was accepted as.
    ReadAccepted(Revision),
    ReadCurrent(Revision),
    /// Reads the revision that the operator expected, to report the changes since then.
    ReadExpected(RevisionRow),
    Write(RevisionRecord),
}

type StepResult = Result<SubmissionStep, RowFault>;

impl Submission {
    /// Creates a submission that has sent no request.
    pub fn new(request: SubmissionRequest) -> Self {
        let content = ContentDigest::of_document(&request.document);
        Self {
            request,
            content,
            phase: Phase::ReadHead,
            head: None,
            attempts: 0,
            may_take_effect: false,
        }
    }

    /// Returns the first step.
    pub fn start(&mut self) -> SubmissionStep {
        self.enter(Phase::ReadHead)
    }

    /// Handles the reply to the last request and returns the next step.
    pub fn handle_reply(&mut self, reply: TableReply) -> SubmissionStep {
        let step = match (reply, self.phase.clone()) {
            (TableReply::Committed, Phase::Write(record)) => {
                done(SubmissionResult::Accepted(record))
            }
            (TableReply::Rows(rows), phase) => self.handle_rows(rows.first(), phase),
            (TableReply::Conflict(_), Phase::Write(_)) => self.retry(Phase::ReadHead),
            (reply, Phase::Write(_)) => {
                self.may_take_effect |= reply != TableReply::Unavailable;
                self.retry_later(Phase::ReadHead)
            }
            (_, phase) => self.retry_later(phase),
        };
        step.unwrap_or_else(|fault| SubmissionStep::Done(SubmissionResult::Faulty(fault)))
    }

    fn handle_rows(&mut self, row: Option<&StoredRow>, phase: Phase) -> StepResult {
        match phase {
            Phase::ReadHead => self.handle_head(row),
            Phase::ReadKey => self.handle_key(row),
            Phase::ReadAccepted(revision) => self.handle_accepted(revision, row),
            Phase::ReadCurrent(revision) => {
                self.write_or_conflict(Some(require_revision(revision, row)?))
            }
            Phase::ReadExpected(current) => {
                let expected = require_revision(self.request.expected, row)?;
                conflict(Some(current), &expected.document)
            }
            // Rows are not a valid reply to a write: whether the write took effect is unknown.
            Phase::Write(_) => {
                self.may_take_effect = true;
                self.retry_later(Phase::ReadHead)
            }
        }
    }

    fn handle_head(&mut self, row: Option<&StoredRow>) -> StepResult {
        self.head = match row {
            Some(row) => Some((row.version, schema_rows::decode(row)?)),
            None => None,
        };
        Ok(self.enter(Phase::ReadKey))
    }

    fn handle_key(&mut self, row: Option<&StoredRow>) -> StepResult {
        let Some(row) = row else {
            return match self.head_revision() {
                Revision::ZERO => self.write_or_conflict(None),
                revision => Ok(self.enter(Phase::ReadCurrent(revision))),
            };
        };
        let key_row: KeyRow = schema_rows::decode(row)?;
        if key_row.content == self.content {
            Ok(self.enter(Phase::ReadAccepted(key_row.revision)))
        } else {
            done(SubmissionResult::KeyReused(key_row.revision))
        }
    }

    fn handle_accepted(&mut self, revision: Revision, row: Option<&StoredRow>) -> StepResult {
        let record = require_revision(revision, row)?.record;
        done(if self.may_take_effect {
            SubmissionResult::Accepted(record)
        } else {
            SubmissionResult::AlreadyAccepted(record)
        })
    }

    /// Writes the new revision if the newest revision is the expected one; otherwise reports a conflict.
    fn write_or_conflict(&mut self, current: Option<RevisionRow>) -> StepResult {
        let (newest, expected) = (self.head_revision(), self.request.expected);
        if newest == expected {
            let record = self.next_record(current.as_ref().map(|row| &row.document));
            return Ok(self.enter(Phase::Write(record)));
        }
        match current {
            Some(row) if expected == Revision::ZERO => conflict(Some(row), &empty_document()),
            Some(row) if expected < newest => Ok(self.enter(Phase::ReadExpected(row))),
            // The expected revision doesn't exist, so there is nothing to compare with.
            Some(row) => conflict(Some(row.clone()), &row.document),
            None => conflict(None, &empty_document()),
        }
    }

    fn next_record(&self, current: Option<&SchemaDocument>) -> RevisionRecord {
        let request = &self.request;
        let parent = self.head.as_ref().map_or(ChainDigest::ROOT, |(_, head)| head.chain);
        let draft = RevisionDraft {
            content: self.content,
            operator: request.operator.clone(),
            wall_ms: request.wall_ms,
            key: request.key.clone(),
            changed: changed_services(current, &request.document),
        };
        RevisionRecord::new(self.head_revision(), parent, draft)
    }

    fn enter(&mut self, phase: Phase) -> SubmissionStep {
        let request = self.request_of(&phase);
        self.phase = phase;
        SubmissionStep::Send(request)
    }

    /// Continues with `phase` after a failed request, or ends the submission after [`MAX_ATTEMPTS`] failures.
    fn retry(&mut self, phase: Phase) -> StepResult {
        self.attempts += 1;
        if self.attempts >= MAX_ATTEMPTS {
            return done(SubmissionResult::Unresolved { may_take_effect: self.may_take_effect });
        }
        Ok(self.enter(phase))
    }

    fn retry_later(&mut self, phase: Phase) -> StepResult {
        Ok(match self.retry(phase)? {
            SubmissionStep::Send(request) => SubmissionStep::SendLater(request),
            step => step,
        })
    }

    fn request_of(&self, phase: &Phase) -> TableRequest {
        TableRequest::Read(match phase {
            Phase::ReadHead => schema_rows::head_key(),
            Phase::ReadKey => schema_rows::submission_key(&self.request.key),
            Phase::ReadAccepted(revision) | Phase::ReadCurrent(revision) => {
                schema_rows::revision_key(*revision)
            }
            Phase::ReadExpected(_) => schema_rows::revision_key(self.request.expected),
            Phase::Write(record) => return TableRequest::Transact(self.writes(record)),
        })
    }

    fn writes(&self, record: &RevisionRecord) -> Vec<RowWrite> {
        let head_condition = self
            .head
            .as_ref()
            .map_or(RowCondition::Absent, |(version, _)| RowCondition::Version(*version));
        let key = self.request.key.clone();
        let head = HeadRow { revision: record.revision, chain: record.chain, key };
        let key_row = KeyRow { revision: record.revision, content: record.content };
        let revision =
            RevisionRow { record: record.clone(), document: self.request.document.clone() };
        vec![
            write(schema_rows::head_key(), head_condition, &head),
            write(schema_rows::revision_key(record.revision), RowCondition::Absent, &revision),
            write(schema_rows::submission_key(&self.request.key), RowCondition::Absent, &key_row),
        ]
    }

    fn head_revision(&self) -> Revision {
        self.head.as_ref().map_or(Revision::ZERO, |(_, head)| head.revision)
    }
}

fn done(result: SubmissionResult) -> StepResult {
    Ok(SubmissionStep::Done(result))
}

fn write(key: RowKey, condition: RowCondition, row: &impl serde::Serialize) -> RowWrite {
    RowWrite { key, condition, value: Some(schema_rows::encode(row)) }
}

/// Decodes a revision's row that must exist, since the head or a key row refers to it.
fn require_revision(revision: Revision, row: Option<&StoredRow>) -> Result<RevisionRow, RowFault> {
    let Some(row) = row else {
        let key = schema_rows::revision_key(revision);
        return Err(schema_rows::fault(&key, "missing".to_owned()));
    };
    schema_rows::decode_revision(row)
}

fn conflict(current: Option<RevisionRow>, expected: &SchemaDocument) -> StepResult {
    let diff = current.as_ref().map(|row| SchemaDiff::between(expected, &row.document));
    let current = current.map(|row| row.record);
    done(SubmissionResult::Conflict { current, diff: diff.unwrap_or_default() })
}

fn empty_document() -> SchemaDocument {
    SchemaDocument { deployment: String::new(), services: Vec::new(), teams: Vec::new() }
}

/// Returns the services added, changed or removed, sorted by name.
fn changed_services(old: Option<&SchemaDocument>, new: &SchemaDocument) -> Vec<ServiceName> {
    let digests = |document: &SchemaDocument| -> IndexMap<ServiceName, ContentDigest> {
        let services = document.services.iter();
        services.map(|service| (service.name.clone(), ContentDigest::of_service(service))).collect()
    };
    let (old, new) = (old.map(digests).unwrap_or_default(), digests(new));
    changed_names(&old, &new, |digest| *digest)
}
