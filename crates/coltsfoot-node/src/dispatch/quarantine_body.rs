//! What operators are told of requests that are held back.

use std::rc::Rc;

use coltsfootroute::quarantine::RequestFingerprint;
use http::StatusCode;

use super::links::{QuarantineService, ReleaseResult};
use crate::http::HttpReply;

/// One case, as operators see it.
#[derive(serde::Serialize)]
struct CaseBody {
    fingerprint: RequestFingerprint,
    /// Whether the request is held back; else it was, and has been let go.
    held: bool,
    /// Changes of the case until now.
    term: u32,
    /// Time since the last change.
    age_s: u64,
}

/// All cases.
pub(super) fn quarantine_reply(desk: &QuarantineService) -> HttpReply {
    let cases = desk.all().cases.into_iter().map(|case| CaseBody {
        fingerprint: case.fingerprint,
        held: case.term.is_held(),
        term: case.term.0,
        age_s: case.age.as_secs(),
    });
    let cases: Vec<_> = cases.collect();
    HttpReply::json(StatusCode::OK, &serde_json::json!({ "requests": cases }))
}

/// Lets a request go.
pub(super) async fn let_go_reply(
    desk: &Rc<QuarantineService>,
    fingerprint: RequestFingerprint,
) -> HttpReply {
    let (status, body) = match desk.release(fingerprint).await {
        ReleaseResult::Stored => (StatusCode::OK, serde_json::json!({ "held": false })),
        ReleaseResult::NotStored => {
            let message = "let go, and not written down yet: the table service does not answer";
            (StatusCode::ACCEPTED, serde_json::json!({ "held": false, "message": message }))
        }
        ReleaseResult::NotHeld => {
            let message = "no such request is held back";
            (StatusCode::NOT_FOUND, serde_json::json!({ "message": message }))
        }
    };
    HttpReply::json(status, &body)
}
