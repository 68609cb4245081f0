//! HTTP sender for requests to the platform's services, which sends each request once.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};

use super::{EraCell, StoreReply};
use crate::{
    http::{OutgoingClient, OutgoingSettings},
    metrics::{ControlKind, NodeMetrics, TrafficDirection},
};

/// Maximum size of the body of a reply, in bytes.
const MAX_REPLY_BYTES: usize = 4 << 20;
/// Time after which an idle connection is closed. It is shorter than the usual server keep-alive of five seconds: the
/// result of a write on a connection that the server closes at that moment would needlessly be uncertain.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of unanswered keep-alive probes after which the connection is closed. A lost probe costs only one more
/// request, but a configuration change must be received within the time that a second probe would take.
const KEEPALIVE_RETRIES: u32 = 1;
/// Longest time that sent data may stay unacknowledged before the connection is closed; keep-alive probes do not cover
/// this case.
const MAX_UNACKNOWLEDGED_TIME: Duration = Duration::from_millis(1_500);

/// Sends requests to the platform's services, each once, and counts their bytes.
pub struct HttpSender {
    client: OutgoingClient,
    metrics: Arc<NodeMetrics>,
    /// Header in which the service states its era, and the cell for it.
    eras: Option<(HeaderName, EraCell)>,
}

impl HttpSender {
    /// Creates a sender that opens a connection within `connect_timeout` and reuses it for further requests.
    pub fn new(connect_timeout: Duration, metrics: Arc<NodeMetrics>) -> Self {
        Self::with_idle(connect_timeout, Some(IDLE_TIMEOUT), metrics)
    }

    /// Creates a sender that opens a connection for each request: a kept connection may have become unresponsive, and a
    /// request sent on it would be lost.
    pub fn without_reuse(connect_timeout: Duration, metrics: Arc<NodeMetrics>) -> Self {
        Self::with_idle(connect_timeout, None, metrics)
    }

    fn with_idle(
        connect_timeout: Duration,
        idle_timeout: Option<Duration>,
        metrics: Arc<NodeMetrics>,
    ) -> Self {
        // Keep-alive probes detect a service that has disappeared silently while a long poll waits for its answer.
        let settings = OutgoingSettings {
            connect_timeout,
            idle_timeout,
            keepalive_retries: KEEPALIVE_RETRIES,
            unacknowledged_time: Some(MAX_UNACKNOWLEDGED_TIME),
            body_limit: MAX_REPLY_BYTES,
        };
        let client = settings.client();
        Self { client, metrics, eras: None }
    }

    /// Records the eras that the service states in `header` of its answers.
    pub fn with_eras(mut self, header: HeaderName, eras: EraCell) -> Self {
        self.eras = Some((header, eras));
        self
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
        self.record_era(response.headers());
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

    fn record_era(&self, headers: &HeaderMap) {
        let Some((header, eras)) = &self.eras else { return };
        if let Some(text) = headers.get(header).and_then(|value| value.to_str().ok()) {
            eras.record_text(text);
        }
    }

    /// Counts the bytes of bodies only: the HTTP client itself handles heads and connections.
    fn count_bytes(&self, direction: TrafficDirection, bytes: usize) {
        self.metrics.control.add_bytes(ControlKind::Store, direction, bytes);
    }
}
