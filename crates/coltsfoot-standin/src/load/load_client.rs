//! One attempt over the network.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use coltsfootroute::{
    constants::{DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, OUTCOME_HEADER, RETRY_AFTER_HEADER},
    outcome::{CallOutcome, RefusalReason},
};
use http::{HeaderMap, Request, Response, header::CONTENT_LENGTH};
use http_body_util::Full;

use crate::{
    body_digest::body_digest,
    call_answer::CallAnswer,
    http_client::{HttpClient, HttpError},
};

use super::attempt_result::AttemptResult;

/// What an attempt sends.
pub(super) struct AttemptRequest<'a> {
    /// `service/operation`.
    pub(super) operation: &'a str,
    /// Idempotency key, where the operation must not run twice.
    pub(super) key: Option<&'a str>,
    /// Deadline.
    pub(super) deadline: Duration,
    /// Body.
    pub(super) body: Bytes,
}

/// Why an attempt may go to another target at once: it never left this client.
pub(super) enum SendError {
    /// The target took no connection.
    Unreachable,
    /// The pooled connection closed before the request was written to it.
    Unsent,
    /// It was sent, and the connection ended.
    Interrupted,
}

/// Sends `attempt` to `target` and checks the answer.
pub(super) async fn send_attempt(
    client: &HttpClient,
    target: SocketAddr,
    attempt: &AttemptRequest<'_>,
) -> Result<AttemptResult, SendError> {
    let mut builder = Request::post(format!("http://{target}/call/{}", attempt.operation))
        .header(DEADLINE_HEADER, attempt.deadline.as_millis().to_string());
    if let Some(key) = attempt.key {
        builder = builder.header(IDEMPOTENCY_KEY_HEADER, key);
    }
    let body = Full::new(attempt.body.clone());
    let request = builder.body(body).map_err(|_| SendError::Unreachable)?;
    let response = client.request(request).await?;
    Ok(read_response(response, attempt))
}

impl From<HttpError> for SendError {
    fn from(error: HttpError) -> Self {
        match error {
            HttpError::Address | HttpError::Connect(_) => Self::Unreachable,
            HttpError::Unsent(_) => Self::Unsent,
            HttpError::Broken(_) => Self::Interrupted,
        }
    }
}

fn read_response(response: Response<Bytes>, attempt: &AttemptRequest<'_>) -> AttemptResult {
    let (head, answer) = response.into_parts();
    let outcome = text(&head.headers, OUTCOME_HEADER).and_then(|text| text.parse().ok());
    let retry_after = text(&head.headers, RETRY_AFTER_HEADER)
        .and_then(|digits| digits.parse().ok())
        .map(Duration::from_secs);
    match outcome {
        Some(CallOutcome::Completed) if head.status.is_success() => {
            check_answer(&head.headers, &answer, attempt)
        }
        Some(CallOutcome::NotRun) => AttemptResult::NotRun { reason: reason(&answer), retry_after },
        Some(CallOutcome::Unknown) => {
            AttemptResult::Unknown { reason: reason(&answer), retry_after }
        }
        // A failure that calls itself completed tells as little as one without an outcome.
        Some(CallOutcome::Completed) | None => AttemptResult::WithoutOutcome,
    }
}

/// The part of a refusal's body that is read.
#[derive(serde::Deserialize)]
struct Refusal {
    reason: RefusalReason,
}

fn reason(answer: &[u8]) -> Option<RefusalReason> {
    serde_json::from_slice::<Refusal>(answer).ok().map(|refusal| refusal.reason)
}

fn check_answer(headers: &HeaderMap, answer: &[u8], attempt: &AttemptRequest<'_>) -> AttemptResult {
    let length = text(headers, CONTENT_LENGTH.as_str()).and_then(|digits| digits.parse().ok());
    if length.is_some_and(|length: usize| length != answer.len()) {
        return AttemptResult::WrongAnswer;
    }
    match serde_json::from_slice::<CallAnswer>(answer) {
        Ok(answer) if is_own(&answer, attempt) => {
            AttemptResult::Completed { work_us: answer.work_us }
        }
        _ => AttemptResult::WrongAnswer,
    }
}

fn is_own(answer: &CallAnswer, attempt: &AttemptRequest<'_>) -> bool {
    let name = format!("{}/{}", answer.service, answer.operation);
    let same_key = attempt.key.is_none() || answer.key.as_deref() == attempt.key;
    name == attempt.operation && same_key && answer.body_digest == body_digest(&attempt.body)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
