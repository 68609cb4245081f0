//! HTTP client of the upstream beside the node.

use std::net::SocketAddr;

use bytes::Bytes;
use coltsfootroute::{
    constants::{CONTEXT_HEADER, DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, OUTCOME_HEADER},
    outcome::CallOutcome,
};
use http::{
    HeaderMap, Request, Response, StatusCode,
    header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING},
};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};

/// The upstream gave no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum UpstreamError {
    /// No connection could be made: the upstream never saw the call.
    #[error("cannot connect to the upstream")]
    Unreachable,
    /// The upstream refused the call before it did any work on it.
    #[error("the upstream sheds load")]
    Shed,
    /// The answer was cut off, oversized or without a stated length.
    #[error("the upstream's answer is not complete")]
    CutOff,
}

/// One call to the upstream.
pub struct UpstreamCall<'a> {
    /// Path with service and operation.
    pub path: String,
    /// Context for the upstream's nested calls.
    pub context: String,
    /// Remaining time in milliseconds.
    pub remaining_ms: u64,
    /// Idempotency key.
    pub key: Option<&'a str>,
    /// Media type of the body.
    pub content_type: &'a str,
    /// Body.
    pub body: Bytes,
}

/// A complete answer.
#[derive(Debug)]
pub struct UpstreamAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// Keeps the connections to the upstream.
pub struct UpstreamClient {
    client: Client<HttpConnector, Full<Bytes>>,
    body_limit: usize,
}

impl UpstreamClient {
    /// A client that takes answers of at most `body_limit` bytes.
    pub fn new(body_limit: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            // A call on a connection that died may have run: never repeated here.
            .retry_canceled_requests(false)
            .build(connector);
        Self { client, body_limit }
    }

    /// Sends `call` and reads the whole answer. Dropping the future closes the connection, which
    /// tells the upstream to stop.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`] unless a complete answer came.
    pub async fn send(
        &self,
        address: SocketAddr,
        call: UpstreamCall<'_>,
    ) -> Result<UpstreamAnswer, UpstreamError> {
        let mut request = Request::post(format!("http://{address}{}", call.path))
            .header(CONTEXT_HEADER, call.context)
            .header(DEADLINE_HEADER, call.remaining_ms);
        if let Some(key) = call.key {
            request = request.header(IDEMPOTENCY_KEY_HEADER, key);
        }
        if !call.content_type.is_empty() {
            request = request.header(CONTENT_TYPE, call.content_type);
        }
        // The parts were checked when the call was read, so the request is well formed.
        let request = request.body(Full::new(call.body)).map_err(|_| UpstreamError::Unreachable)?;
        let response = self.client.request(request).await.map_err(|err| {
            if err.is_connect() { UpstreamError::Unreachable } else { UpstreamError::CutOff }
        })?;
        self.read_answer(response).await
    }

    async fn read_answer(
        &self,
        response: Response<Incoming>,
    ) -> Result<UpstreamAnswer, UpstreamError> {
        let (head, body) = response.into_parts();
        if head.status == StatusCode::SERVICE_UNAVAILABLE && says_not_run(&head.headers) {
            return Err(UpstreamError::Shed);
        }
        if !states_length(&head.headers, head.status) {
            return Err(UpstreamError::CutOff);
        }
        let body = Limited::new(body, self.body_limit)
            .collect()
            .await
            .map_err(|_| UpstreamError::CutOff)?;
        let content_type = head.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
        Ok(UpstreamAnswer {
            status: head.status.as_u16(),
            content_type: content_type.unwrap_or_default().to_owned(),
            body: body.to_bytes().to_vec(),
        })
    }
}

fn says_not_run(headers: &HeaderMap) -> bool {
    headers.get(OUTCOME_HEADER).is_some_and(|value| value == CallOutcome::NotRun.as_str())
}

/// Whether the end of the body can be told from a cut-off.
fn states_length(headers: &HeaderMap, status: StatusCode) -> bool {
    headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
        || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}
