//! Handler of the listener on the host's own address: nested calls and announcements of the upstream
//! beside the node, and the operators' calls.

use coltsfootroute::constants::IDEMPOTENCY_KEY_HEADER;
use http::{Method, StatusCode};
use xitca_web::{WebContext, http::WebResponse};

use super::{
    call_path::CallPath,
    client_listener::{head_too_large, malformed},
    http_reply::{HttpReply, JSON, TEXT},
    listener_state::HostState,
    request_parts::{CallHeaders, RequestError, head_fits, read_body, text},
    worker_meter::report_worker,
};
use crate::{
    answers::OpenAnswer,
    config::SubmitRequest,
    dispatch::{CallOrigin, UpstreamAnnouncement},
    metrics::{ControlKind, TrafficDirection},
};

/// Request header: the revision that a submission builds on.
const IF_MATCH_HEADER: &str = "if-match";
/// Request header: the operator who submits.
const OPERATOR_HEADER: &str = "coltsfoot-operator";
/// Path that begins a planned stop.
const DRAIN_PATH: &str = "/drain";
/// Path of the requests that are held back.
const QUARANTINE_PATH: &str = "/quarantine";
/// Events in one page of `GET /events`.
const EVENTS_PAGE: usize = 10_000;

/// Serves one request on the host's own address.
pub async fn handle(ctx: &WebContext<'_, HostState>) -> WebResponse {
    report_worker(&ctx.state().metrics);
    let open = ctx.state().answers.begin();
    let request = ctx.req();
    let most = ctx.state().limits.head_bytes;
    if !head_fits(request.method(), request.uri(), request.headers(), most) {
        return head_too_large().into_response(open);
    }
    let path = ctx.req().uri().path().to_owned();
    let reply = match (ctx.req().method().clone(), path.as_str()) {
        (Method::PUT, "/upstream") => announce(ctx).await,
        (Method::DELETE, "/upstream") => withdraw(ctx).await,
        (Method::POST, path) if path != DRAIN_PATH => match CallPath::parse(path) {
            Some(path) => nested_call(ctx, path, &open).await,
            None => not_found(),
        },
        (method, path) => {
            let reply = operate(ctx, &method, path).await;
            count_operator(ctx, TrafficDirection::Sent, reply.body_bytes());
            reply
        }
    };
    reply.into_response(open)
}

/// Serves an operator.
async fn operate(ctx: &WebContext<'_, HostState>, method: &Method, path: &str) -> HttpReply {
    match (method.clone(), path) {
        (Method::PUT, "/schema") => submit(ctx).await,
        (Method::GET, "/schema") => ctx.state().config.show().await,
        (Method::GET, "/schema/history") => ctx.state().config.history().await,
        (Method::GET, "/status") => status(ctx).await,
        (Method::GET, QUARANTINE_PATH) => ctx.state().dispatch.quarantine().await,
        (Method::DELETE, path) => let_go(ctx, path).await,
        (Method::GET, "/events") => events(ctx),
        (Method::GET, "/metrics") => metrics(ctx),
        (Method::POST, DRAIN_PATH) => drain(ctx),
        _ => not_found(),
    }
}

/// Bodies only, as with the store.
fn count_operator(ctx: &WebContext<'_, HostState>, direction: TrafficDirection, bytes: usize) {
    ctx.state().metrics.control.add_bytes(ControlKind::Operator, direction, bytes);
}

fn not_found() -> HttpReply {
    HttpReply::new(StatusCode::NOT_FOUND, TEXT, "no such path\n")
}

/// The reply to a message whose body cannot be read.
fn unread(err: &RequestError) -> HttpReply {
    match err {
        RequestError::NoMemory => malformed(err),
        RequestError::Header(_) | RequestError::BodyTooLarge(_) | RequestError::BodyCutOff => {
            bad_request(err)
        }
    }
}

fn bad_request(message: impl std::fmt::Display) -> HttpReply {
    HttpReply::json(StatusCode::BAD_REQUEST, &serde_json::json!({ "message": message.to_string() }))
}

async fn body_of(ctx: &WebContext<'_, HostState>) -> Result<bytes::Bytes, RequestError> {
    let body = std::mem::take(&mut *ctx.body_borrow_mut());
    read_body(body, ctx.state().limits.body_bytes, &ctx.state().memory).await
}

async fn nested_call(
    ctx: &WebContext<'_, HostState>,
    path: CallPath,
    open: &OpenAnswer,
) -> HttpReply {
    let received = ctx.state().clock.now();
    let mut headers = match CallHeaders::read(ctx.req().headers()) {
        Ok(headers) => headers,
        Err(err) => return malformed(&err),
    };
    let body = match body_of(ctx).await {
        Ok(body) => body,
        Err(err) => return malformed(&err),
    };
    if let Some(remaining) = headers.remaining {
        open.set_remaining(remaining);
    }
    let origin = CallOrigin::Upstream { context: headers.context.take() };
    ctx.state().dispatch.call(headers.into_call(origin, path, body, received)).await
}

async fn announce(ctx: &WebContext<'_, HostState>) -> HttpReply {
    let body = match body_of(ctx).await {
        Ok(body) => body,
        Err(err) => return unread(&err),
    };
    match serde_json::from_slice::<UpstreamAnnouncement>(&body) {
        Ok(announcement) => ctx.state().dispatch.announce(announcement).await,
        Err(err) => bad_request(err),
    }
}

async fn withdraw(ctx: &WebContext<'_, HostState>) -> HttpReply {
    ctx.state().dispatch.withdraw().await
}

async fn submit(ctx: &WebContext<'_, HostState>) -> HttpReply {
    let headers = ctx.req().headers();
    let request = match SubmitRequest::read(
        text(headers, IF_MATCH_HEADER),
        text(headers, IDEMPOTENCY_KEY_HEADER),
        text(headers, OPERATOR_HEADER),
    ) {
        Ok(request) => request,
        Err(err) => return bad_request(err),
    };
    match body_of(ctx).await {
        Ok(body) => {
            count_operator(ctx, TrafficDirection::Received, body.len());
            ctx.state().config.submit(request, body).await
        }
        Err(err) => unread(&err),
    }
}

async fn let_go(ctx: &WebContext<'_, HostState>, path: &str) -> HttpReply {
    let Some(text) = path.strip_prefix(QUARANTINE_PATH).and_then(|rest| rest.strip_prefix('/'))
    else {
        return not_found();
    };
    match text.parse() {
        Ok(fingerprint) => ctx.state().dispatch.release(fingerprint).await,
        Err(_) => bad_request("a fingerprint has 32 hexadecimal digits"),
    }
}

async fn status(ctx: &WebContext<'_, HostState>) -> HttpReply {
    ctx.state().dispatch.status().await
}

fn metrics(ctx: &WebContext<'_, HostState>) -> HttpReply {
    let state = ctx.state();
    state.metrics.process.set_events_dropped(state.events.dropped());
    state.metrics.process.set_memory(state.memory.usage());
    match state.metrics.render() {
        Ok(text) => HttpReply::new(StatusCode::OK, TEXT, text),
        Err(err) => HttpReply::new(StatusCode::INTERNAL_SERVER_ERROR, TEXT, err.to_string()),
    }
}

fn events(ctx: &WebContext<'_, HostState>) -> HttpReply {
    let query = ctx.req().uri().query().unwrap_or_default();
    let since = match query.strip_prefix("since=").map(str::parse).transpose() {
        Ok(since) => since.unwrap_or(0),
        Err(_) => return bad_request("`since` is a sequence number"),
    };
    let lines = ctx.state().events.json_lines_since(since, EVENTS_PAGE);
    HttpReply::new(StatusCode::OK, JSON, lines)
}

fn drain(ctx: &WebContext<'_, HostState>) -> HttpReply {
    ctx.state().drain.begin();
    HttpReply::json(StatusCode::ACCEPTED, &serde_json::json!({ "draining": true }))
}
