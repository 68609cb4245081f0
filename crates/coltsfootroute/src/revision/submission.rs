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

/// Most failed requests before a submission gives up.
pub const MAX_ATTEMPTS: u32 = 16;

/// Takes one document into the table service by compare-and-set on `schema/head`.
///
/// Reads the head first, then the row of its own idempotency key. In that order, "head moved on, key
/// absent" proves that an earlier write of this key that is still on its way can't take effect any more:
/// it is conditional on the head's old version. While the head stands where it stood, the same write can
/// safely be sent again: the two exclude each other.
#[derive(Clone, Debug)]
pub struct Submission {
    request: SubmissionRequest,
    content: ContentDigest,
    phase: Phase,
    /// The head as last read.
    head: Option<(RowVersion, HeadRow)>,
    /// Failed requests.
    attempts: u32,
    /// Whether a write of this submission may have taken effect or may still do so.
    is_in_doubt: bool,
}

#[derive(Clone, Debug)]
enum Phase {
    ReadHead,
    ReadKey,
    /// Reads the revision that this key was accepted as.
    ReadOwn(Revision),
    ReadCurrent(Revision),
    /// Reads the revision that the operator expected, to show what changed since.
    ReadExpected(RevisionRow),
    Write(RevisionRecord),
}

type StepResult = Result<SubmissionStep, RowFault>;

impl Submission {
    /// A submission that hasn't sent anything yet.
    pub fn new(request: SubmissionRequest) -> Self {
        let content = ContentDigest::of_document(&request.document);
        Self {
            request,
            content,
            phase: Phase::ReadHead,
            head: None,
            attempts: 0,
            is_in_doubt: false,
        }
    }

    /// The first request.
    pub fn start(&mut self) -> SubmissionStep {
        self.enter(Phase::ReadHead)
    }

    /// Takes the reply to the last request.
    pub fn take(&mut self, reply: TableReply) -> SubmissionStep {
        let step = match (reply, self.phase.clone()) {
            (TableReply::Committed, Phase::Write(record)) => {
                done(SubmissionResult::Accepted(record))
            }
            (TableReply::Rows(rows), phase) => self.take_rows(rows.first(), phase),
            (TableReply::Conflict(_), Phase::Write(_)) => self.retry(Phase::ReadHead),
            (reply, Phase::Write(_)) => {
                self.is_in_doubt |= reply != TableReply::Unavailable;
                self.retry_later(Phase::ReadHead)
            }
            (_, phase) => self.retry_later(phase),
        };
        step.unwrap_or_else(|fault| SubmissionStep::Done(SubmissionResult::Faulty(fault)))
    }

    fn take_rows(&mut self, row: Option<&StoredRow>, phase: Phase) -> StepResult {
        match phase {
            Phase::ReadHead => self.take_head(row),
            Phase::ReadKey => self.take_key(row),
            Phase::ReadOwn(revision) => self.take_own(revision, row),
            Phase::ReadCurrent(revision) => self.decide(Some(required(revision, row)?)),
            Phase::ReadExpected(current) => {
                let expected = required(self.request.expected, row)?;
                conflict(Some(current), &expected.document)
            }
            // Rows don't answer a write: whether it took effect is unknown.
            Phase::Write(_) => {
                self.is_in_doubt = true;
                self.retry_later(Phase::ReadHead)
            }
        }
    }

    fn take_head(&mut self, row: Option<&StoredRow>) -> StepResult {
        self.head = match row {
            Some(row) => Some((row.version, schema_rows::decoded(row)?)),
            None => None,
        };
        Ok(self.enter(Phase::ReadKey))
    }

    fn take_key(&mut self, row: Option<&StoredRow>) -> StepResult {
        let Some(row) = row else {
            return match self.head_revision() {
                Revision::ZERO => self.decide(None),
                revision => Ok(self.enter(Phase::ReadCurrent(revision))),
            };
        };
        let own: KeyRow = schema_rows::decoded(row)?;
        if own.content == self.content {
            Ok(self.enter(Phase::ReadOwn(own.revision)))
        } else {
            done(SubmissionResult::KeyReused(own.revision))
        }
    }

    fn take_own(&mut self, revision: Revision, row: Option<&StoredRow>) -> StepResult {
        let record = required(revision, row)?.record;
        done(if self.is_in_doubt {
            SubmissionResult::Accepted(record)
        } else {
            SubmissionResult::AlreadyAccepted(record)
        })
    }

    /// Writes if the newest revision is the one expected.
    fn decide(&mut self, current: Option<RevisionRow>) -> StepResult {
        let (newest, expected) = (self.head_revision(), self.request.expected);
        if newest == expected {
            let record = self.next_record(current.as_ref().map(|row| &row.document));
            return Ok(self.enter(Phase::Write(record)));
        }
        match current {
            Some(row) if expected == Revision::ZERO => conflict(Some(row), &empty_document()),
            Some(row) if expected < newest => Ok(self.enter(Phase::ReadExpected(row))),
            // The operator names a revision that doesn't exist: there is nothing to compare with.
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

    /// Goes on with `phase` after a failure, unless there were too many.
    fn retry(&mut self, phase: Phase) -> StepResult {
        self.attempts += 1;
        if self.attempts >= MAX_ATTEMPTS {
            return done(SubmissionResult::Unresolved { may_take_effect: self.is_in_doubt });
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
            Phase::ReadOwn(revision) | Phase::ReadCurrent(revision) => {
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
        let own = KeyRow { revision: record.revision, content: record.content };
        let revision =
            RevisionRow { record: record.clone(), document: self.request.document.clone() };
        vec![
            write(schema_rows::head_key(), head_condition, &head),
            write(schema_rows::revision_key(record.revision), RowCondition::Absent, &revision),
            write(schema_rows::submission_key(&self.request.key), RowCondition::Absent, &own),
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
    RowWrite { key, condition, value: Some(schema_rows::encoded(row)) }
}

/// A revision's row that the head or a key row vouches for.
fn required(revision: Revision, row: Option<&StoredRow>) -> Result<RevisionRow, RowFault> {
    let Some(row) = row else {
        let key = schema_rows::revision_key(revision);
        return Err(schema_rows::fault(&key, "missing".to_owned()));
    };
    schema_rows::decoded_revision(row)
}

fn conflict(current: Option<RevisionRow>, expected: &SchemaDocument) -> StepResult {
    let diff = current.as_ref().map(|row| SchemaDiff::between(expected, &row.document));
    let current = current.map(|row| row.record);
    done(SubmissionResult::Conflict { current, diff: diff.unwrap_or_default() })
}

fn empty_document() -> SchemaDocument {
    SchemaDocument { deployment: String::new(), services: Vec::new(), teams: Vec::new() }
}

/// Services added, changed or removed, in order of their names.
fn changed_services(old: Option<&SchemaDocument>, new: &SchemaDocument) -> Vec<ServiceName> {
    let digests = |document: &SchemaDocument| -> IndexMap<ServiceName, ContentDigest> {
        let services = document.services.iter();
        services.map(|service| (service.name.clone(), ContentDigest::of_service(service))).collect()
    };
    let (old, new) = (old.map(digests).unwrap_or_default(), digests(new));
    changed_names(&old, &new, |digest| *digest)
}
