//! Requests by path.

use std::sync::Arc;

use bytes::Bytes;
use coltsfootroute::constants::{CALL_PATH_PREFIX, MAX_BODY_BYTES};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use crate::http_client::HttpClient;

use super::{
    ControlCommand, HealthMode,
    answer_body::AnswerBody,
    call_handler::{Answer, handle_call, to_json},
    call_request::CallRequest,
    upstream_state::UpstreamState,
};

/// Answers any request.
pub(super) async fn route_request(
    state: Arc<UpstreamState>,
    client: HttpClient,
    request: Request<Incoming>,
) -> Answer {
    let (head, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return plain(StatusCode::PAYLOAD_TOO_LARGE, Bytes::new());
    };
    let body = body.to_bytes();
    let path = head.uri.path();
    if let Some(operation) = called_operation(&state, path) {
        let call = CallRequest::new(operation.to_owned(), &head.headers, body);
        return handle_call(&state, &client, call).await;
    }
    match (&head.method, path) {
        (&Method::GET, "/counts") => plain(StatusCode::OK, to_json(&state.report())),
        (&Method::GET, "/health") => plain(StatusCode::OK, to_json(&read_health(&state))),
        (&Method::POST, "/control") => apply_command(&state, &body),
        _ => plain(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

fn called_operation<'a>(state: &UpstreamState, path: &'a str) -> Option<&'a str> {
    let (service, operation) = path.strip_prefix(CALL_PATH_PREFIX)?.split_once('/')?;
    (service == state.settings.service.as_str()).then_some(operation)
}

fn apply_command(state: &UpstreamState, body: &[u8]) -> Answer {
    match serde_json::from_slice::<ControlCommand>(body) {
        Ok(command) => {
            state.apply(command);
            plain(StatusCode::OK, Bytes::new())
        }
        Err(error) => plain(StatusCode::BAD_REQUEST, Bytes::from(error.to_string())),
    }
}

/// Body of `GET /health`.
#[derive(serde::Serialize)]
struct Health {
    healthy: bool,
    running: u64,
    queued: u64,
    slots: u32,
}

fn read_health(state: &UpstreamState) -> Health {
    let slots = state.slots;
    let control = state.control();
    if control.health == HealthMode::Lies {
        return Health { healthy: true, running: 0, queued: 0, slots };
    }
    let report = state.report();
    let healthy = !control.shed && !state.is_leaving();
    Health { healthy, running: report.running, queued: report.queued, slots }
}

fn plain(status: StatusCode, data: Bytes) -> Answer {
    let mut answer = Response::new(AnswerBody::whole(data));
    *answer.status_mut() = status;
    answer
}
