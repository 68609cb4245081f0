//! HTTP client of the upstream beside the node.

use std::{cell::RefCell, net::SocketAddr};

use bytes::Bytes;
use coltsfoot_wire::peer::{HeaderLine, RequestHead, is_final_status};
use coltsfootroute::{
    retry::{AnswerKind, ArrivalNumber, ConnectionTrust},
    time::SuspensionDetector,
};
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode,
    header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING},
};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body as _, Incoming};
use hyper_util::client::legacy::connect::capture_connection;

use super::{arrival_clients::ArrivalClients, upstream_arrival::UpstreamArrival};
use crate::{
    border::{UpstreamDialect, UpstreamStatement},
    clock::MonotonicClock,
    http::OutgoingClient,
    memory::{HeldBuffer, MemoryFull, MemoryPool},
};

/// Reason why the upstream gave no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum UpstreamError {
    /// No connection could be made: the upstream has not received the call.
    #[error("cannot connect to the upstream")]
    Unreachable,
    /// The upstream refused the call before it did any work on it.
    #[error("the upstream sheds load")]
    Shed,
    /// An instance other than the expected one uses the address; it did no work on the call.
    #[error("another instance has the upstream's address")]
    OtherInstance,
    /// The answer was truncated, too large or not sent by the upstream itself.
    #[error("the upstream's answer is not complete")]
    CutOff,
    /// The first answer after the call was sent belongs to another one.
    #[error("the answer belongs to another call")]
    OtherCall,
    /// What came is no final answer of HTTP.
    #[error("the upstream sent no final answer")]
    NoAnswer,
    /// The answer came, but there was no memory for it.
    #[error("no memory left for the answer")]
    Unheld,
}

/// One call to the upstream.
pub struct UpstreamCall<'a> {
    /// Head of a request to forward; `None` for a call in the native format.
    pub head: Option<&'a RequestHead>,
    /// Path with service and operation, for a call in the native format.
    pub path: String,
    /// Context for the upstream's nested calls.
    pub context: String,
    /// Remaining time in milliseconds.
    pub remaining_ms: u64,
    /// The only instance that may run the call, if the upstream names its instances.
    pub instance: Option<&'a str>,
    /// Team that sent the client request.
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
    /// Headers to forward; empty for a call in the native format.
    pub headers: Vec<HeaderLine>,
    /// Body, whose memory is held until its last clone is dropped.
    pub body: Bytes,
}

/// HTTP client with pools of connections to the upstream.
pub struct UpstreamClient {
    /// Replaced after a suspension of the host, because the upstream may be closing the idle connections by its own
    /// clock: a call sent while it closes a connection may have run.
    clients: RefCell<ArrivalClients>,
    clock: MonotonicClock,
    suspensions: RefCell<SuspensionDetector>,
    trust: RefCell<ConnectionTrust>,
    body_limit: usize,
    memory: MemoryPool,
    dialect: UpstreamDialect,
}

impl UpstreamClient {
    /// Creates a client that accepts answers with a body of at most `body_limit` bytes, and holds them in `memory`.
    pub fn new(
        clock: MonotonicClock,
        body_limit: usize,
        memory: MemoryPool,
        dialect: UpstreamDialect,
    ) -> Self {
        let clients = RefCell::new(ArrivalClients::new(body_limit));
        Self {
            clients,
            clock,
            suspensions: RefCell::default(),
            trust: RefCell::default(),
            body_limit,
            memory,
            dialect,
        }
    }

    /// Returns the client for the arrival with `number` and a body of `body_bytes`. All are replaced if the host was suspended since the last call.
    fn client(&self, number: ArrivalNumber, body_bytes: usize) -> OutgoingClient {
        if self.suspensions.borrow_mut().detect(self.clock.suspended()).is_some() {
            *self.clients.borrow_mut() = ArrivalClients::new(self.body_limit);
        }
        self.clients.borrow().client(number, body_bytes).clone()
    }

    /// Returns the context of a forwarded request; `None` if it has no identity.
    pub fn context_of(&self, head: &RequestHead) -> Option<u128> {
        self.dialect.context_of(head)
    }

    /// Returns whether the upstream refuses calls meant for another instance of it.
    pub fn checks_instance(&self) -> bool {
        self.dialect.checks_instance()
    }

    /// Sends `call` and reads the whole answer. Dropping the future closes the connection, which signals the upstream
    /// to cancel its work. `arrival` learns which connection carries the call; `observe` is given what the upstream states
    /// in the head of its answer, as soon as it arrives.
    ///
    /// # Errors
    ///
    /// Returns an [`UpstreamError`] unless a complete answer was received.
    pub async fn send(
        &self,
        address: SocketAddr,
        call: UpstreamCall<'_>,
        arrival: &UpstreamArrival,
        observe: impl FnOnce(UpstreamStatement),
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
        let body_bytes = call.body.len();
        *request.body_mut() = Full::new(call.body);
        arrival.set_connection(capture_connection(&mut request));
        let identity = self.dialect.identity(request.headers()).cloned();
        // Without identities, arrivals are not told apart.
        let client = self.client(arrival.number().unwrap_or(ArrivalNumber::FIRST), body_bytes);
        let response = client.request(request).await.map_err(|err| {
            if err.is_connect() { UpstreamError::Unreachable } else { UpstreamError::CutOff }
        })?;
        if !is_final_status(response.status().as_u16()) {
            // What follows on this connection may be anything.
            arrival.poison_connection();
            return Err(UpstreamError::NoAnswer);
        }
        let kind = self.answer_kind(&response);
        if !self.dialect.is_answer_to(identity.as_ref(), response.headers()) {
            // Further answers on this connection could not be matched to their calls.
            arrival.poison_connection();
            self.trust.borrow_mut().note_lost(self.clock.now(), kind);
            return Err(UpstreamError::OtherCall);
        }
        if !self.trust.borrow_mut().keeps_connection(self.clock.now(), kind) {
            arrival.poison_connection();
        }
        // Another instance at the address speaks for itself only.
        if response.status() != StatusCode::MISDIRECTED_REQUEST {
            observe(self.dialect.statement(response.headers()));
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

    /// Sets the header with the team of the request, and removes any value that the caller has set.
    fn set_team(&self, headers: &mut HeaderMap, call: &UpstreamCall<'_>) {
        let Some(name) = &self.dialect.team else { return };
        headers.remove(name);
        if let Some(value) = call.team.and_then(|team| HeaderValue::from_str(team).ok()) {
            headers.append(name, value);
        }
    }

    fn answer_kind(&self, response: &Response<Incoming>) -> AnswerKind {
        let is_not_run = self.dialect.says_not_run(response.status(), response.headers())
            || response.status() == StatusCode::MISDIRECTED_REQUEST;
        if is_not_run { AnswerKind::NotRun } else { AnswerKind::Ran }
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
        let body = self.read_body(body).await?;
        let content_type = head.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
        Ok(UpstreamAnswer {
            status: head.status.as_u16(),
            content_type: content_type.unwrap_or_default().to_owned(),
            headers: if is_forwarded { end_to_end_headers(&head.headers) } else { Vec::new() },
            body,
        })
    }

    /// Reads a whole body, and holds memory for it.
    async fn read_body(&self, body: Incoming) -> Result<Bytes, UpstreamError> {
        let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        let mut buffer = HeldBuffer::new(&self.memory);
        buffer.reserve(stated.min(self.body_limit))?;
        let mut body = Limited::new(body, self.body_limit);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| UpstreamError::CutOff)?;
            if let Ok(piece) = frame.into_data() {
                buffer.extend(&piece)?;
            }
        }
        Ok(buffer.into_bytes())
    }
}

impl From<MemoryFull> for UpstreamError {
    fn from(MemoryFull: MemoryFull) -> Self {
        Self::Unheld
    }
}

type UpstreamRequest = Request<Full<Bytes>>;

/// Builds a request to forward, without its body; `None` if its head is malformed.
fn forwarded_request(address: SocketAddr, head: &RequestHead) -> Option<UpstreamRequest> {
    let method = Method::from_bytes(head.method.as_bytes()).ok()?;
    let mut request = empty_request(method, address, &head.target)?;
    let headers = request.headers_mut();
    // Filled in place with reserved capacity: a builder would be moved for each header.
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

/// Number of headers that the node adds to a request: remaining time, instance, host and length of the body.
const ADDED_HEADERS: usize = 4;

/// Hop-by-hop headers, which apply to a single connection and are not forwarded.
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

/// Returns the headers to forward: all but the hop-by-hop headers and those named by `Connection`.
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

/// Returns whether the end of the body can be told from a truncation.
fn delimits_body(headers: &HeaderMap, status: StatusCode) -> bool {
    headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
        || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}
