//! Handler of the listener for clients: calls, and nothing else.

use std::time::Duration;

use coltsfootroute::{
    admission::RetryAfter,
    id::RequestId,
    outcome::{CallOutcome, RefusalReason},
};
use http::{Method, StatusCode};
use xitca_web::{WebContext, http::WebResponse};

use super::{
    call_path::CallPath,
    http_reply::{HttpReply, TEXT},
    listener_state::ClientState,
    request_parts::{CallHeaders, RequestError, head_fits, read_body},
    worker_meter::report_worker,
};
use crate::{answers::OpenAnswer, dispatch::CallOrigin};

/// Serves one request of a client.
pub async fn handle(ctx: &WebContext<'_, ClientState>) -> WebResponse {
    report_worker(&ctx.state().metrics);
    let open = ctx.state().answers.begin();
    let request = ctx.req();
    let most = ctx.state().limits.head_bytes;
    if !head_fits(request.method(), request.uri(), request.headers(), most) {
        return head_too_large().into_response(open);
    }
    let reply = match CallPath::parse(ctx.req().uri().path()) {
        Some(_) if ctx.req().method() != Method::POST => {
            HttpReply::new(StatusCode::METHOD_NOT_ALLOWED, TEXT, "calls are POST requests\n")
        }
        Some(path) => call(ctx, path, &open).await,
        None => HttpReply::new(StatusCode::NOT_FOUND, TEXT, "no such path\n"),
    };
    reply.into_response(open)
}

async fn call(ctx: &WebContext<'_, ClientState>, path: CallPath, open: &OpenAnswer) -> HttpReply {
    let state = ctx.state();
    let received = state.clock.now();
    let read = async {
        let headers = CallHeaders::read(ctx.req().headers())?;
        let body = std::mem::take(&mut *ctx.body_borrow_mut());
        Ok::<_, RequestError>((
            headers,
            read_body(body, state.limits.body_bytes, &state.memory).await?,
        ))
    };
    let (headers, body) = match read.await {
        Ok(parts) => parts,
        Err(err) => return malformed(&err),
    };
    if let Some(remaining) = headers.remaining {
        open.set_remaining(remaining);
    }
    // The context of a client is never read: a client cannot forge importance.
    let origin = CallOrigin::Client { address: ctx.req().body().socket_addr().ip() };
    state.dispatch.call(headers.into_call(origin, path, body, received)).await
}

/// The reply to a request whose head is too large; its body is not read.
pub fn head_too_large() -> HttpReply {
    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    HttpReply::new(status, TEXT, "the head of the request is too large\n")
        .with_outcome(CallOutcome::NotRun)
        .with_close()
}

/// The reply to a call that cannot be read; it ran nowhere.
pub fn malformed(err: &RequestError) -> HttpReply {
    let refuse = |reason, wait| HttpReply::refusal(RequestId(0), reason, CallOutcome::NotRun, wait);
    match err {
        RequestError::Header(_) => refuse(RefusalReason::BadRequest, Duration::ZERO),
        // The rest of the body was not read, so the connection cannot carry another request.
        RequestError::BodyTooLarge(_) | RequestError::BodyCutOff => {
            refuse(RefusalReason::BadRequest, Duration::ZERO).with_close()
        }
        RequestError::NoMemory => {
            let wait = RetryAfter::draw_for_absence(&mut rand::rng()).0;
            refuse(RefusalReason::Overload, wait).with_close()
        }
    }
}
