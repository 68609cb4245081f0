//! One client request with its retries.

use std::sync::Arc;

use bytes::Bytes;
use tokio::{
    sync::Semaphore,
    time::{Duration, Instant, sleep, timeout_at},
};

use crate::http_client::HttpClient;

use super::{
    OfferedOperation, RetryPolicy,
    attempt_result::AttemptResult,
    load_client::{AttemptRequest, SendError, send_attempt},
    request_outcome::RequestOutcome,
    target_list::TargetList,
};

/// Time for an answer given right at the deadline to arrive.
const TRANSIT_TIME: Duration = Duration::from_millis(50);
/// Targets tried for one attempt while none takes a connection.
const MAX_TARGETS: u32 = 4;

/// Sends requests; shared by all requests of a run.
pub(super) struct RequestSender {
    /// Client.
    pub(super) client: HttpClient,
    /// Targets.
    pub(super) targets: TargetList,
    /// Places for requests under way.
    pub(super) places: Semaphore,
    /// Behaviour after a failure.
    pub(super) retry: RetryPolicy,
}

/// A request to send.
pub(super) struct ClientRequest {
    /// Position of the operation.
    pub(super) index: usize,
    /// Operation.
    pub(super) operation: Arc<OfferedOperation>,
    /// Idempotency key, where the operation must not run twice.
    pub(super) key: Option<String>,
    /// Body.
    pub(super) body: Bytes,
    /// When it was due.
    pub(super) due: Instant,
}

impl RequestSender {
    /// Sends `request` until it completes or its attempts are used up.
    pub(super) async fn send(&self, request: ClientRequest) -> RequestOutcome {
        let mut attempts = Vec::new();
        // The first attempt counts from when it was due, retries from when they start.
        let mut start = request.due;
        for _ in 0..=self.retry.max_retries {
            let result = self.attempt(&request, start).await;
            attempts.push(result);
            if matches!(result, AttemptResult::Completed { .. }) {
                break;
            }
            if self.retry.respect_retry_after {
                sleep(result.retry_after().unwrap_or(Duration::ZERO)).await;
            }
            start = Instant::now();
        }
        let latency = request.due.elapsed();
        RequestOutcome {
            operation: request.index,
            key: request.key,
            due: request.due,
            latency,
            attempts,
        }
    }

    async fn attempt(&self, request: &ClientRequest, start: Instant) -> AttemptResult {
        let deadline = start + Duration::from_millis(request.operation.deadline_ms);
        let Ok(Ok(_place)) = timeout_at(deadline, self.places.acquire()).await else {
            return AttemptResult::NotSent;
        };
        let remaining = deadline.saturating_duration_since(Instant::now());
        let attempt = AttemptRequest {
            operation: &request.operation.name,
            key: request.key.as_deref(),
            deadline: remaining,
            body: request.body.clone(),
        };
        let sent = timeout_at(deadline + TRANSIT_TIME, self.send_somewhere(&attempt)).await;
        sent.unwrap_or(AttemptResult::TimedOut)
    }

    /// Goes on to another target while the attempt has not left this client.
    async fn send_somewhere(&self, attempt: &AttemptRequest<'_>) -> AttemptResult {
        for _ in 0..MAX_TARGETS {
            let Some(target) = self.targets.pick() else { break };
            match send_attempt(&self.client, target, attempt).await {
                Ok(result) => return result,
                Err(SendError::Interrupted) => return AttemptResult::Interrupted,
                Err(SendError::Unreachable) => self.targets.avoid(target),
                Err(SendError::Unsent) => {}
            }
        }
        AttemptResult::NotSent
    }
}
