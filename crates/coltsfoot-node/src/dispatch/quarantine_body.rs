//! Replies to operators about quarantined requests.

use std::rc::Rc;

use coltsfootroute::quarantine::RequestFingerprint;
use http::StatusCode;

use super::links::{QuarantineService, ReleaseResult};
use crate::http::HttpReply;

/// One quarantine case, as shown to operators.
#[derive(serde::Serialize)]
struct CaseBody {
    fingerprint: RequestFingerprint,
    /// Whether the request is quarantined; otherwise it was and has been released.
    held: bool,
    /// Number of changes to the case.
    term: u32,
    /// Time since the last change, in seconds.
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
pub(super) async fn release_reply(
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
