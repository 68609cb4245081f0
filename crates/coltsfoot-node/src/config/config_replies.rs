//! HTTP replies to operators about configurations.

use coltsfootroute::{
    revision::{ConflictBody, FailureBody, RevisionRecord, SubmissionResult},
    schema::SchemaErrors,
};
use http::{HeaderValue, StatusCode, header::ETAG};

use super::ConfigInForce;
use crate::http::HttpReply;

/// Media type of a schema.
const SCHEMA_MEDIA_TYPE: &str = "application/yaml";

/// Reply with the schema in force; status 404 if `config` is `None`.
pub fn schema(config: Option<&ConfigInForce>) -> HttpReply {
    let Some(config) = config else {
        return with_status(StatusCode::NOT_FOUND, "no configuration is in force", false);
    };
    let text = match serde_saphyr::to_string(config.document()) {
        Ok(text) => text,
        Err(err) => {
            return with_status(StatusCode::INTERNAL_SERVER_ERROR, &err.to_string(), false);
        }
    };
    let reply = HttpReply::new(StatusCode::OK, SCHEMA_MEDIA_TYPE, text);
    match HeaderValue::from_str(&format!("\"{}\"", config.revision())) {
        Ok(tag) => reply.with_header(ETAG, tag),
        Err(_) => reply,
    }
}

/// Reply to a submission that has been accepted, now or by an earlier request.
pub fn accepted(record: &RevisionRecord) -> HttpReply {
    HttpReply::json(StatusCode::OK, record)
}

/// Reply to a submission whose schema is invalid.
pub fn faulty(errors: &SchemaErrors) -> HttpReply {
    HttpReply::json(StatusCode::UNPROCESSABLE_ENTITY, errors)
}

/// Reply to a submission that was not accepted; an accepted `result` gives the reply of [`accepted`].
pub fn refused(result: SubmissionResult) -> HttpReply {
    match result {
        SubmissionResult::Conflict { current, diff } => {
            let body = ConflictBody { reason: "conflict".to_owned(), current, diff };
            HttpReply::json(StatusCode::CONFLICT, &body)
        }
        SubmissionResult::KeyReused(revision) => with_status(
            StatusCode::UNPROCESSABLE_ENTITY,
            &format!("the idempotency key stands with another schema, revision {revision}"),
            false,
        ),
        SubmissionResult::Unresolved { may_take_effect } => with_status(
            StatusCode::SERVICE_UNAVAILABLE,
            "the table service does not answer",
            may_take_effect,
        ),
        SubmissionResult::Faulty(fault) => {
            with_status(StatusCode::INTERNAL_SERVER_ERROR, &fault.to_string(), false)
        }
        SubmissionResult::Accepted(record) | SubmissionResult::AlreadyAccepted(record) => {
            accepted(&record)
        }
    }
}

/// Reply with the given revisions, oldest first.
pub fn history(records: &[RevisionRecord]) -> HttpReply {
    HttpReply::json(StatusCode::OK, &records)
}

/// Reply to a request that cannot be served, with status 400.
pub fn failure(reason: &str, may_take_effect: bool) -> HttpReply {
    with_status(StatusCode::BAD_REQUEST, reason, may_take_effect)
}

/// Reply to a submission on a node whose configurations another system accepts.
pub fn accepted_elsewhere() -> HttpReply {
    with_status(StatusCode::FORBIDDEN, "another system accepts the configurations", false)
}

fn with_status(status: StatusCode, reason: &str, may_take_effect: bool) -> HttpReply {
    HttpReply::json(status, &FailureBody { reason: reason.to_owned(), may_take_effect })
}
