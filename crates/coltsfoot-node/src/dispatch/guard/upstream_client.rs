//! HTTP client of the upstream beside the node.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use bytes::Bytes;
use coltsfoot_wire::peer::{HeaderLine, RequestHead};
use coltsfootroute::time::SuspensionDetector;
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode,
    header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING},
};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::{CaptureConnection, capture_connection};

use crate::{
    border::UpstreamDialect,
    clock::MonotonicClock,
    http::{OutgoingClient, OutgoingSettings},
};

/// An idle connection is closed after this, well before an upstream would close it (5 s and more are usual):
/// a call that crosses the upstream's close may have run.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// A connection whose upstream has not acknowledged what was sent for so long is given up: on one host that takes
/// microseconds.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Probes without an answer until the connection is given up.
const KEEPALIVE_RETRIES: u32 = 2;
/// Time to open a connection to a process on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The upstream gave no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum UpstreamError {
    /// No connection could be made: the upstream never saw the call.
    #[error("cannot connect to the upstream")]
    Unreachable,
    /// The upstream refused the call before it did any work on it.
    #[error("the upstream sheds load")]
    Shed,
    /// Another instance than the expected one has the address; it did no work on the call.
    #[error("another instance has the upstream's address")]
    OtherInstance,
    /// The answer was cut off, oversized, that to another call or not the upstream's own.
    #[error("the upstream's answer is not complete")]
    CutOff,
}

/// One call to the upstream.
pub struct UpstreamCall<'a> {
    /// Head of a request to pass on; `None`: a call in the product's own form.
    pub head: Option<&'a RequestHead>,
    /// Path with service and operation, in the product's own form.
    pub path: String,
    /// Context for the upstream's nested calls.
    pub context: String,
    /// Remaining time in milliseconds.
    pub remaining_ms: u64,
    /// Instance that alone may run the call, if it names itself.
    pub instance: Option<&'a str>,
    /// Team whose client request it is.
    pub team: Option<&'a str>,
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
    /// Headers to pass on; empty for a call in the product's own form.
    pub headers: Vec<HeaderLine>,
    /// Body.
    pub body: Vec<u8>,
}

/// Keeps the connections to the upstream.
pub struct UpstreamClient {
    /// Replaced after a suspension, which idle connections may not have outlasted: the upstream closes them by its own
    /// time, and a call that crosses its close may have run.
    client: RefCell<OutgoingClient>,
    clock: MonotonicClock,
    suspensions: RefCell<SuspensionDetector>,
    body_limit: usize,
    dialect: UpstreamDialect,
}

impl UpstreamClient {
    /// A client that takes answers of at most `body_limit` bytes.
    pub fn new(clock: MonotonicClock, body_limit: usize, dialect: UpstreamDialect) -> Self {
        let client = RefCell::new(new_client());
        Self { client, clock, suspensions: RefCell::default(), body_limit, dialect }
    }

    /// The connections to use now.
    fn client(&self) -> OutgoingClient {
        if self.suspensions.borrow_mut().detect(self.clock.suspended()).is_some() {
            *self.client.borrow_mut() = new_client();
        }
        self.client.borrow().clone()
    }

    /// The context of a request that is passed on, if it bears an identity.
    pub fn context_of(&self, head: &RequestHead) -> Option<u128> {
        self.dialect.context_of(head)
    }

    /// Whether the upstream refuses calls that are meant for another life of it.
    pub fn checks_instance(&self) -> bool {
        self.dialect.checks_instance()
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
        let is_forwarded = call.head.is_some();
        // The parts were checked when the call was read, so the request is well formed.
        let mut request = match call.head {
            Some(head) => forwarded_request(address, head),
            None => self.native_request(address, &call),
        }
        .ok_or(UpstreamError::Unreachable)?;
        let headers = request.headers_mut();
        headers.append(&self.dialect.deadline, HeaderValue::from(call.remaining_ms));
        self.add_instance(headers, &call);
        self.set_team(headers, &call);
        *request.body_mut() = Full::new(call.body);
        let connection = capture_connection(&mut request);
        let identity = self.dialect.identity(request.headers()).cloned();
        let response = self.client().request(request).await.map_err(|err| {
            if err.is_connect() { UpstreamError::Unreachable } else { UpstreamError::CutOff }
        })?;
        if identity.as_ref() != self.dialect.identity(response.headers()) {
            // What else comes on this connection belongs to nobody.
            poison(&connection);
            return Err(UpstreamError::CutOff);
        }
        self.read_answer(response, is_forwarded).await
    }

    fn native_request(
        &self,
        address: SocketAddr,
        call: &UpstreamCall<'_>,
    ) -> Option<UpstreamRequest> {
        let mut request = empty_request(Method::POST, address, &call.path)?;
        let headers = request.headers_mut();
        if let Some(context) = &self.dialect.context {
            headers.append(context, HeaderValue::from_str(&call.context).ok()?);
        }
        if let (Some(name), Some(key)) = (&self.dialect.key, call.key) {
            headers.append(name, HeaderValue::from_str(key).ok()?);
        }
        if !call.content_type.is_empty() {
            headers.append(CONTENT_TYPE, HeaderValue::from_str(call.content_type).ok()?);
        }
        Some(request)
    }

    fn add_instance(&self, headers: &mut HeaderMap, call: &UpstreamCall<'_>) {
        let value = call.instance.and_then(|instance| HeaderValue::from_str(instance).ok());
        if let (Some(name), Some(value)) = (&self.dialect.expected_instance, value) {
            headers.append(name, value);
        }
    }

    /// Says whose request it is, in place of whatever the caller has said of it.
    fn set_team(&self, headers: &mut HeaderMap, call: &UpstreamCall<'_>) {
        let Some(name) = &self.dialect.team else { return };
        headers.remove(name);
        if let Some(value) = call.team.and_then(|team| HeaderValue::from_str(team).ok()) {
            headers.append(name, value);
        }
    }

    async fn read_answer(
        &self,
        response: Response<Incoming>,
        is_forwarded: bool,
    ) -> Result<UpstreamAnswer, UpstreamError> {
        let (head, body) = response.into_parts();
        if self.dialect.says_not_run(head.status, &head.headers) {
            return Err(UpstreamError::Shed);
        }
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            return Err(UpstreamError::OtherInstance);
        }
        let is_whole = is_forwarded || delimits_body(&head.headers, head.status);
        if !is_whole || !self.dialect.is_sealed(head.status, &head.headers) {
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
            headers: if is_forwarded { end_to_end_headers(&head.headers) } else { Vec::new() },
            body: body.to_bytes().to_vec(),
        })
    }
}

fn new_client() -> OutgoingClient {
    let settings = OutgoingSettings {
        connect_timeout: CONNECT_TIMEOUT,
        idle_timeout: Some(IDLE_TIMEOUT),
        keepalive_retries: KEEPALIVE_RETRIES,
        unacknowledged_time: Some(UNACKNOWLEDGED_TIMEOUT),
    };
    settings.client()
}

type UpstreamRequest = Request<Full<Bytes>>;

/// A request to pass on, without its body; `None` if its head is malformed.
fn forwarded_request(address: SocketAddr, head: &RequestHead) -> Option<UpstreamRequest> {
    let method = Method::from_bytes(head.method.as_bytes()).ok()?;
    let mut request = empty_request(method, address, &head.target)?;
    let headers = request.headers_mut();
    // Filled in place and with room for all: a builder moves itself for each header.
    headers.reserve(head.headers.len() + ADDED_HEADERS);
    for line in &head.headers {
        let name = HeaderName::from_bytes(line.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(&line.value).ok()?);
    }
    Some(request)
}

fn empty_request(method: Method, address: SocketAddr, target: &str) -> Option<UpstreamRequest> {
    let mut request = Request::new(Full::default());
    *request.method_mut() = method;
    *request.uri_mut() = format!("http://{address}{target}").parse().ok()?;
    Some(request)
}

/// Headers that the node adds to a request: time left, instance, host and length of the body.
const ADDED_HEADERS: usize = 4;

/// Headers that concern one connection only.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "content-length",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// The headers that are passed on: all but those of one connection.
pub fn end_to_end_headers(headers: &HeaderMap) -> Vec<HeaderLine> {
    let named: Vec<_> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let is_kept = |name: &HeaderName| {
        !HOP_BY_HOP_HEADERS.contains(&name.as_str())
            && !named.iter().any(|held| held == name.as_str())
    };
    let kept = headers.iter().filter(|(name, _)| is_kept(name));
    kept.map(|(name, value)| HeaderLine::new(name.as_str(), value.as_bytes())).collect()
}

/// Keeps a connection from being used again.
fn poison(connection: &CaptureConnection) {
    if let Some(connected) = connection.connection_metadata().as_ref() {
        connected.poison();
    }
}

/// Whether the end of the body can be told from a cut-off.
fn delimits_body(headers: &HeaderMap, status: StatusCode) -> bool {
    headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
        || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}
