//! What operators are told of requests that are held back.

use std::rc::Rc;

use coltsfootroute::quarantine::RequestFingerprint;
use http::StatusCode;

use super::links::QuarantineDesk;
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
pub(super) fn quarantine_reply(desk: &QuarantineDesk) -> HttpReply {
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
pub(super) fn let_go_reply(
    desk: &Rc<QuarantineDesk>,
    fingerprint: RequestFingerprint,
) -> HttpReply {
    match desk.let_go(fingerprint) {
        true => HttpReply::json(StatusCode::OK, &serde_json::json!({ "held": false })),
        false => {
            let body = serde_json::json!({ "message": "no such request is held back" });
            HttpReply::json(StatusCode::NOT_FOUND, &body)
        }
    }
}
