//! Requests to a service of the platform over HTTP, each sent once.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};

use super::StoreReply;
use crate::{
    http::{OutgoingClient, OutgoingSettings},
    metrics::{ControlKind, NodeMetrics, TrafficDirection},
};

/// Largest reply taken, in bytes.
const MAX_REPLY_BYTES: usize = 4 << 20;
/// Idle connections are closed before a server's usual keep-alive of five seconds ends: a write on a
/// connection that the server closes at that moment would be uncertain for nothing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Probes without an answer until the connection is given up. A lost probe costs a question more; a change has to be known
/// in the time that a second one would take.
const KEEPALIVE_RETRIES: u32 = 1;
/// A connection whose server has not acknowledged what was sent for so long is given up: keep-alives don't look at it.
const MAX_UNACKNOWLEDGED_TIME: Duration = Duration::from_millis(1_500);

/// Sends requests to the platform's services, each once, and counts their bytes.
pub struct HttpSender {
    client: OutgoingClient,
    metrics: Arc<NodeMetrics>,
}

impl HttpSender {
    /// A sender that opens a connection within `connect_timeout`, and keeps it for further requests.
    pub fn new(connect_timeout: Duration, metrics: Arc<NodeMetrics>) -> Self {
        Self::with_idle(connect_timeout, Some(IDLE_TIMEOUT), metrics)
    }

    /// A sender that opens a connection for each request: one that was kept may have gone silent meanwhile, and would
    /// swallow the request.
    pub fn without_reuse(connect_timeout: Duration, metrics: Arc<NodeMetrics>) -> Self {
        Self::with_idle(connect_timeout, None, metrics)
    }

    fn with_idle(
        connect_timeout: Duration,
        idle_timeout: Option<Duration>,
        metrics: Arc<NodeMetrics>,
    ) -> Self {
        // Keep-alives notice a service that has gone without a word while a long question waits for its answer.
        let settings = OutgoingSettings {
            connect_timeout,
            idle_timeout,
            keepalive_retries: KEEPALIVE_RETRIES,
            unacknowledged_time: Some(MAX_UNACKNOWLEDGED_TIME),
        };
        let client = settings.client();
        Self { client, metrics }
    }

    /// Sends one request and reads the whole reply.
    pub async fn send(
        &self,
        method: Method,
        uri: String,
        body: Bytes,
    ) -> StoreReply<(StatusCode, Bytes)> {
        let sent_bytes = body.len();
        let Ok(request) = Request::builder().method(method).uri(uri).body(Full::new(body)) else {
            return StoreReply::Refused;
        };
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return StoreReply::Refused,
            Err(_) => return StoreReply::Lost,
        };
        self.count_bytes(TrafficDirection::Sent, sent_bytes);
        let status = response.status();
        match status {
            StatusCode::TOO_MANY_REQUESTS => return StoreReply::RateLimited,
            StatusCode::SERVICE_UNAVAILABLE => return StoreReply::Refused,
            _ => {}
        }
        match Limited::new(response.into_body(), MAX_REPLY_BYTES).collect().await {
            Ok(body) => {
                let body = body.to_bytes();
                self.count_bytes(TrafficDirection::Received, body.len());
                StoreReply::Answer((status, body))
            }
            Err(_) => StoreReply::Lost,
        }
    }

    /// Bodies only: heads and connections are the HTTP client's own.
    fn count_bytes(&self, direction: TrafficDirection, bytes: usize) {
        self.metrics.control.add_bytes(ControlKind::Store, direction, bytes);
    }
}
