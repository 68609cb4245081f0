//! Runs submissions and reads of the history, concurrently with the duty's own loop.

use std::time::Duration;

use bytes::Bytes;
use coltsfootroute::{
    event::EventKind,
    revision::{
        HistoryReader, HistoryRecord, ReaderStep, Revision, RevisionRecord, Submission,
        SubmissionKey, SubmissionRequest, SubmissionResult, SubmissionStep,
    },
    schema::SchemaDocument,
    table::{StoreUse, TableReply, TableRequest},
};
use tokio::{sync::oneshot, time::sleep};

use super::{SubmitRequest, config_replies};
use crate::{clock::wall_millis, http::HttpReply, journal::EventSender, store::StoreHandle};

/// Longest time that one request to the table service may take.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before a request of a submission is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Maximum number of revisions in one reply with the history.
const MAX_HISTORY_REVISIONS: usize = 1_000;

/// An accepted revision.
pub struct AcceptedRevision {
    /// Record of the revision.
    pub record: RevisionRecord,
    /// Schema of the revision.
    pub document: SchemaDocument,
}

/// Result of a finished task; an accepted revision is put in force before the requester gets its reply.
pub struct FinishedTask {
    /// Accepted revision; `None` if the task accepted none.
    pub accepted: Option<AcceptedRevision>,
    /// Reply to the requester.
    pub answer: HttpReply,
    /// Channel to the requester.
    pub reply: oneshot::Sender<HttpReply>,
}

/// Runs submissions and reads of the history against the table service.
pub struct SubmissionHandler {
    store: StoreHandle,
    events: EventSender,
}

impl SubmissionHandler {
    /// Creates a handler that sends its requests to `store` and its events to `events`.
    pub fn new(store: StoreHandle, events: EventSender) -> Self {
        Self { store, events }
    }

    /// Sends one request to the table service.
    pub async fn request_store(&self, request: TableRequest) -> TableReply {
        self.store.request(request, STORE_TIMEOUT, StoreUse::Config).await
    }

    /// Runs a submission until its result is known.
    pub async fn submit(
        self,
        request: SubmitRequest,
        body: Bytes,
        reply: oneshot::Sender<HttpReply>,
    ) -> FinishedTask {
        match self.run_submission(request, &body).await {
            Ok(accepted) => {
                let answer = config_replies::accepted(&accepted.record);
                FinishedTask { accepted: Some(accepted), answer, reply }
            }
            Err(answer) => FinishedTask { accepted: None, answer, reply },
        }
    }

    async fn run_submission(
        &self,
        request: SubmitRequest,
        body: &[u8],
    ) -> Result<AcceptedRevision, HttpReply> {
        let document = parse(body)?;
        let mut submission = Submission::new(submission_request(request, document.clone())?);
        let mut step = submission.start();
        let result = loop {
            let request = match step {
                SubmissionStep::Send(request) => request,
                SubmissionStep::SendLater(request) => {
                    sleep(RETRY_PAUSE).await;
                    request
                }
                SubmissionStep::Done(result) => break result,
            };
            step = submission.handle_reply(self.request_store(request).await);
        };
        match result {
            SubmissionResult::Accepted(record) => {
                self.events.emit(accepted_event(&record));
                Ok(AcceptedRevision { record, document })
            }
            SubmissionResult::AlreadyAccepted(record) => Ok(AcceptedRevision { record, document }),
            refused => Err(config_replies::refused(refused)),
        }
    }

    /// Reads the history from the table service; falls back to `recent`, the revisions known to this node, while the
    /// service is down.
    pub async fn history(
        self,
        recent: Vec<HistoryRecord>,
        reply: oneshot::Sender<HttpReply>,
    ) -> FinishedTask {
        let answer = self.read_history(recent).await;
        FinishedTask { accepted: None, answer, reply }
    }

    async fn read_history(&self, recent: Vec<HistoryRecord>) -> HttpReply {
        let mut reader = HistoryReader::new(Revision::ZERO, MAX_HISTORY_REVISIONS);
        let mut request = reader.start();
        loop {
            let reply = self.request_store(request).await;
            match reader.handle_reply(&reply) {
                ReaderStep::Send(next) => request = next,
                ReaderStep::Done(records) => return config_replies::history(&records),
                ReaderStep::Unavailable => {
                    let records: Vec<_> = recent.into_iter().map(|entry| entry.record).collect();
                    return config_replies::history(&records);
                }
                ReaderStep::Faulty(fault) => {
                    return config_replies::failure(&fault.to_string(), false);
                }
            }
        }
    }
}

fn parse(body: &[u8]) -> Result<SchemaDocument, HttpReply> {
    let text = std::str::from_utf8(body)
        .map_err(|_| config_replies::failure("the schema is not UTF-8", false))?;
    SchemaDocument::from_yaml(text).map_err(|errors| config_replies::faulty(&errors))
}

fn submission_request(
    request: SubmitRequest,
    document: SchemaDocument,
) -> Result<SubmissionRequest, HttpReply> {
    let key = SubmissionKey::new(&request.key);
    if !key.is_valid() {
        return Err(config_replies::failure("malformed idempotency-key", false));
    }
    Ok(SubmissionRequest {
        expected: Revision(request.expected),
        operator: request.operator,
        key,
        document,
        wall_ms: wall_millis(),
    })
}

fn accepted_event(record: &RevisionRecord) -> EventKind {
    EventKind::RevisionAccepted {
        revision: record.revision.0,
        operator: record.operator.clone(),
        digest: record.chain.to_string(),
    }
}
