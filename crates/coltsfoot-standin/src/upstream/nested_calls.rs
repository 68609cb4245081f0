//! Nested calls of a run.

use std::net::SocketAddr;

use bytes::Bytes;
use coltsfootroute::{
    constants::{CONTEXT_HEADER, DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, MAX_KEY_BYTES},
    schema::{CallEdge, OperationEntry, SchemaDocument},
};
use futures_util::future::try_join_all;
use http::Request;
use http_body_util::Full;

use crate::{body_digest::body_digest, call_answer::CallAnswer, http_client::HttpClient};

use super::{call_request::CallRequest, run_error::RunError, upstream_state::UpstreamState};

/// Longest part of a failed call's answer that is passed on, bytes.
const MAX_REASON_BYTES: usize = 300;

/// Makes the calls that `operation` declares: the edges in turn, the fan-out of one edge at once.
/// Returns the microseconds of work that the callees report.
pub(super) async fn make_nested_calls(
    state: &UpstreamState,
    client: &HttpClient,
    operation: &OperationEntry,
    request: &CallRequest,
) -> Result<u64, RunError> {
    let parent = parent_key(state, request);
    let mut work_us = 0;
    for (index, edge) in operation.calls.iter().enumerate() {
        let calls = (0..edge.fan_out).map(|copy| {
            let key = nested_key(&parent, index, copy);
            make_call(state, client, edge, request, key)
        });
        work_us += try_join_all(calls).await?.into_iter().sum::<u64>();
    }
    Ok(work_us)
}

/// The key from which those of the nested calls derive.
fn parent_key(state: &UpstreamState, request: &CallRequest) -> String {
    match &request.key {
        Some(key) => key.clone(),
        None => format!("run-{:016x}", state.draw_token()),
    }
}

/// Stays the same when the parent runs again under its own key.
fn nested_key(parent: &str, index: usize, copy: u32) -> String {
    let key = format!("{parent}.{index}.{copy}");
    if key.len() <= MAX_KEY_BYTES { key } else { body_digest(key.as_bytes()) }
}

async fn make_call(
    state: &UpstreamState,
    client: &HttpClient,
    edge: &CallEdge,
    request: &CallRequest,
    key: String,
) -> Result<u64, RunError> {
    let node = state.settings.node.ok_or(RunError::NoNode)?;
    let callee = format!("{}/{}", edge.service, edge.operation);
    let key = (!is_repeatable(&state.settings.schema, edge)).then_some(key);
    let answer = match build_request(node, &callee, request, key) {
        Ok(nested) => exchange(client, nested).await,
        Err(error) => Err(error.to_string()),
    };
    answer.map(|answer| read_work_us(&answer)).map_err(|reason| RunError::Nested { callee, reason })
}

fn build_request(
    node: SocketAddr,
    callee: &str,
    request: &CallRequest,
    key: Option<String>,
) -> http::Result<Request<Full<Bytes>>> {
    let mut builder = Request::post(format!("http://{node}/call/{callee}"));
    if let Some(context) = &request.context {
        builder = builder.header(CONTEXT_HEADER, context);
    }
    if let Some(remaining) = request.remaining() {
        builder = builder.header(DEADLINE_HEADER, remaining.as_millis().to_string());
    }
    if let Some(key) = key {
        builder = builder.header(IDEMPOTENCY_KEY_HEADER, key);
    }
    builder.body(Full::new(request.body.clone()))
}

/// The body of a successful answer, or why there is none.
async fn exchange(client: &HttpClient, nested: Request<Full<Bytes>>) -> Result<Bytes, String> {
    let response = client.request(nested).await.map_err(|error| describe(&error))?;
    let (status, answer) = (response.status(), response.into_body());
    if status.is_success() { Ok(answer) } else { Err(format!("{status} {}", shorten(&answer))) }
}

fn is_repeatable(schema: &SchemaDocument, edge: &CallEdge) -> bool {
    let operation = schema.service(&edge.service).and_then(|s| s.operation(&edge.operation));
    operation.is_none_or(|operation| operation.repeatable)
}

/// The error with its causes: the outermost alone says only that the connection failed.
fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}

fn shorten(answer: &Bytes) -> String {
    let part = &answer[..answer.len().min(MAX_REASON_BYTES)];
    String::from_utf8_lossy(part).into_owned()
}

/// 0 where the callee says nothing of it.
fn read_work_us(answer: &Bytes) -> u64 {
    serde_json::from_slice::<CallAnswer>(answer).map_or(0, |answer| answer.work_us)
}
