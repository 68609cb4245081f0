//! Reading a request: headers with bounds, then the whole body.

use std::{pin::pin, time::Duration};

use bytes::Bytes;
use coltsfootroute::{
    constants::{CONTEXT_HEADER, DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, MAX_KEY_BYTES},
    team::KeyDigest,
    time::MonotonicTime,
};
use http::{HeaderMap, Method, Uri, header::CONTENT_TYPE};
use tokio::time::timeout;
use xitca_web::body::{BodyExt, RequestBody};

use super::{bearer_key::bearer_key, call_path::CallPath};
use crate::{
    dispatch::{CallOrigin, IncomingCall},
    memory::{HeldBuffer, MemoryFull, MemoryPool},
};

/// Time a caller has to send the whole body of its request.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Bounds on the parts of a request.
#[derive(Clone, Copy, Debug)]
pub struct PartLimits {
    /// Most bytes of the head, request line and header lines.
    pub head_bytes: usize,
    /// Most bytes of a body.
    pub body_bytes: usize,
}

/// Whether the head is at most `most` bytes long.
pub fn head_fits(method: &Method, uri: &Uri, headers: &HeaderMap, most: usize) -> bool {
    let path = uri.path_and_query().map_or(0, |path| path.as_str().len());
    let lines = headers.iter().map(|(name, value)| name.as_str().len() + value.len() + LINE_BYTES);
    method.as_str().len() + path + REQUEST_LINE_BYTES + lines.sum::<usize>() <= most
}

/// Separators of a header line.
const LINE_BYTES: usize = ": \r\n".len();
/// What the request line and the end of the head hold beside method and path.
const REQUEST_LINE_BYTES: usize = "  HTTP/1.1\r\n\r\n".len();

/// A request that cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// A header has a value that is not text, not a number where one is needed, or too long.
    #[error("header `{0}` is malformed or too long")]
    Header(&'static str),
    /// The body is larger than the settings allow.
    #[error("body is larger than {0} bytes")]
    BodyTooLarge(usize),
    /// The connection failed, or the time was over, before the body was complete.
    #[error("body was cut off")]
    BodyCutOff,
    /// The process has no memory left to hold the body.
    #[error("no memory left for the body")]
    NoMemory,
}

impl From<MemoryFull> for RequestError {
    fn from(MemoryFull: MemoryFull) -> Self {
        Self::NoMemory
    }
}

/// The headers of a call that the node reads.
#[derive(Clone, Debug, Default)]
pub struct CallHeaders {
    /// Digest of the key that the caller shows.
    pub credential: Option<KeyDigest>,
    /// Idempotency key.
    pub key: Option<String>,
    /// Remaining time that the caller states.
    pub remaining: Option<Duration>,
    /// Context of the client request; only from the upstream beside the node.
    pub context: Option<String>,
    /// Media type of the body, empty if absent.
    pub content_type: String,
}

impl CallHeaders {
    /// Reads the headers of a call.
    ///
    /// # Errors
    ///
    /// [`RequestError::Header`] names the first malformed header.
    pub fn read(headers: &HeaderMap) -> Result<Self, RequestError> {
        let key = text(headers, IDEMPOTENCY_KEY_HEADER)?.map(str::to_owned);
        if key.as_ref().is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES) {
            return Err(RequestError::Header(IDEMPOTENCY_KEY_HEADER));
        }
        let remaining = text(headers, DEADLINE_HEADER)?
            .map(|value| value.trim().parse().map(Duration::from_millis))
            .transpose()
            .map_err(|_| RequestError::Header(DEADLINE_HEADER))?;
        let context = text(headers, CONTEXT_HEADER)?.map(str::to_owned);
        let content_type = text(headers, CONTENT_TYPE.as_str())?.unwrap_or_default().to_owned();
        let credential = bearer_key(headers);
        Ok(Self { credential, key, remaining, context, content_type })
    }

    /// The call to `path` that came in at `received`; the context stands in `origin`, if at all.
    pub fn into_call(
        self,
        origin: CallOrigin,
        path: CallPath,
        body: Bytes,
        received: MonotonicTime,
    ) -> IncomingCall {
        IncomingCall {
            origin,
            service: path.service,
            operation: path.operation,
            credential: self.credential,
            key: self.key,
            remaining: self.remaining,
            content_type: self.content_type,
            head: None,
            body,
            received,
        }
    }
}

/// The value of header `name` as text; a repeated header is malformed.
pub fn text<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, RequestError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(RequestError::Header(name));
    }
    value.to_str().map(Some).map_err(|_| RequestError::Header(name))
}

/// Reads a whole body of at most `limit` bytes, and holds it in `memory`.
///
/// # Errors
///
/// [`RequestError::BodyTooLarge`], [`RequestError::BodyCutOff`] or [`RequestError::NoMemory`].
pub async fn read_body(
    body: RequestBody,
    limit: usize,
    memory: &MemoryPool,
) -> Result<Bytes, RequestError> {
    let read = timeout(BODY_TIMEOUT, read_whole(body, limit, memory)).await;
    read.unwrap_or(Err(RequestError::BodyCutOff))
}

async fn read_whole(
    body: RequestBody,
    limit: usize,
    memory: &MemoryPool,
) -> Result<Bytes, RequestError> {
    let mut body = pin!(body);
    let mut buffer = HeldBuffer::new(memory);
    while let Some(chunk) = body.as_mut().data().await {
        let chunk = chunk.map_err(|_| RequestError::BodyCutOff)?;
        if buffer.len() + chunk.len() > limit {
            return Err(RequestError::BodyTooLarge(limit));
        }
        buffer.extend(&chunk)?;
    }
    Ok(buffer.into_bytes())
}
