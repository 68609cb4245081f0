//! A call from admission to its answer.

use std::{sync::Arc, time::Instant};

use bytes::Bytes;
use coltsfootroute::{
    constants::OUTCOME_HEADER,
    outcome::{CallOutcome, RefusalReason},
    schema::OperationEntry,
};
use http::{Response, StatusCode};
use tokio::time::{sleep, timeout_at};

use crate::{body_digest::body_digest, call_answer::CallAnswer, http_client::HttpClient};

use super::{
    answer_body::AnswerBody, call_request::CallRequest, nested_calls::make_nested_calls,
    run_error::RunError, run_guard::RunGuard, upstream_state::UpstreamState,
};

/// Response of an upstream.
pub(super) type Answer = Response<AnswerBody>;

/// Serves one call: waits for a slot, runs, answers. Dropped with the caller's connection, which
/// stops the work.
pub(super) async fn handle_call(
    state: &Arc<UpstreamState>,
    client: &HttpClient,
    request: CallRequest,
) -> Answer {
    let Some(operation) = state.operation(&request.operation) else {
        return refuse(RefusalReason::UnknownOperation, CallOutcome::NotRun);
    };
    if state.control().shed {
        return shed(state);
    }
    let deadline = request.deadline.map(tokio::time::Instant::from_std);
    let Some(deadline) = deadline else {
        return serve(state, client, operation, &request).await;
    };
    let waited = timeout_at(deadline, state.queue.take()).await;
    let Ok(place) = waited else {
        return refuse(RefusalReason::Deadline, CallOutcome::NotRun);
    };
    let Some(_permit) = place else {
        return shed(state);
    };
    match timeout_at(deadline, run(state, client, operation, &request)).await {
        Ok(answer) => answer,
        Err(_) => refuse(RefusalReason::Deadline, CallOutcome::Unknown),
    }
}

/// As [`handle_call`], without a deadline.
async fn serve(
    state: &Arc<UpstreamState>,
    client: &HttpClient,
    operation: &OperationEntry,
    request: &CallRequest,
) -> Answer {
    let Some(_permit) = state.queue.take().await else {
        return shed(state);
    };
    run(state, client, operation, request).await
}

async fn run(
    state: &Arc<UpstreamState>,
    client: &HttpClient,
    operation: &OperationEntry,
    request: &CallRequest,
) -> Answer {
    let key = request.key.as_deref().filter(|_| !operation.repeatable);
    let guard = RunGuard::new(state, &request.operation, key);
    if state.is_fatal(&request.body) {
        state.end();
        // Ends with its connection.
        std::future::pending::<()>().await;
    }
    let result = work(state, client, operation, request).await;
    guard.end(result.is_ok());
    match result {
        Ok(work_us) => complete(state, request, work_us),
        Err(error) => fail(&error),
    }
}

/// Own work first, then the nested calls; returns the microseconds spent by all.
async fn work(
    state: &Arc<UpstreamState>,
    client: &HttpClient,
    operation: &OperationEntry,
    request: &CallRequest,
) -> Result<u64, RunError> {
    let timer = ServiceTimer { state, started: Instant::now() };
    sleep(state.draw_service_time()).await;
    let own_us = timer.stop();
    if state.draw_chance(state.control().fail_ratio) {
        return Err(RunError::Commanded);
    }
    let nested_us = make_nested_calls(state, client, operation, request).await?;
    Ok(own_us + nested_us)
}

/// Adds the service time when dropped, so that stopped work counts as well.
struct ServiceTimer<'a> {
    state: &'a UpstreamState,
    started: Instant,
}

impl ServiceTimer<'_> {
    fn stop(self) -> u64 {
        u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX)
    }
}

impl Drop for ServiceTimer<'_> {
    fn drop(&mut self) {
        self.state.counts().add_service_time(self.started.elapsed());
    }
}

fn complete(state: &UpstreamState, request: &CallRequest, work_us: u64) -> Answer {
    let answer = CallAnswer {
        service: state.settings.service.to_string(),
        operation: request.operation.clone(),
        key: request.key.clone(),
        body_digest: body_digest(&request.body),
        work_us,
    };
    let data = to_json(&answer);
    let cut = state.draw_chance(state.control().cut_answers);
    let body = if cut { AnswerBody::cut(data) } else { AnswerBody::whole(data) };
    respond(StatusCode::OK, CallOutcome::Completed, body)
}

fn shed(state: &UpstreamState) -> Answer {
    state.counts().count_shed();
    refuse(RefusalReason::Overload, CallOutcome::NotRun)
}

fn refuse(reason: RefusalReason, outcome: CallOutcome) -> Answer {
    let status = StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let refusal = Failure { reason: reason.as_str(), outcome };
    respond(status, outcome, AnswerBody::whole(to_json(&refusal)))
}

fn fail(error: &RunError) -> Answer {
    let failure = Failure { reason: &error.to_string(), outcome: CallOutcome::Unknown };
    let body = AnswerBody::whole(to_json(&failure));
    respond(StatusCode::INTERNAL_SERVER_ERROR, CallOutcome::Unknown, body)
}

/// Body of an answer that is not complete.
#[derive(serde::Serialize)]
struct Failure<'a> {
    reason: &'a str,
    outcome: CallOutcome,
}

fn respond(status: StatusCode, outcome: CallOutcome, body: AnswerBody) -> Answer {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    let value = http::HeaderValue::from_static(outcome.as_str());
    answer.headers_mut().insert(OUTCOME_HEADER, value);
    answer
}

/// Plain data of ours always serialises; should it not, the empty body fails the caller's check.
pub(super) fn to_json(value: &impl serde::Serialize) -> Bytes {
    serde_json::to_vec(value).map(Bytes::from).unwrap_or_default()
}
