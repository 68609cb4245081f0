//! What has come in on a connection and is no whole request yet.

use bytes::{Buf, BytesMut};
use coltsfootroute::memory::SMALL_HOLD_BYTES;
use http::{HeaderName, HeaderValue, Method, Request, Uri, Version, header::EXPECT};

use super::{ConnectionLimits, FramingError, WholeRequest, body_reader::BodyReader};
use crate::memory::{MemoryHold, MemoryPool};

/// Headers of a request at most.
const MAX_HEADERS: usize = 100;

/// Bytes that are held for a request beside its head and its body: its state at the node, and a short answer.
const REQUEST_BYTES: usize = 8 * 1024;
/// Unparsed bytes that are part of what each connection takes; more are held.
const UNHELD_BYTES: usize = 4 * 1024;

/// Fewest bytes that are read at a time.
const MIN_READ_BYTES: usize = 1024;
/// Memory of a body in bytes beyond which it is large.
const LARGE_BODY_BYTES: usize = 256 * 1024;

/// What has come in on a connection and is no whole request yet.
pub(super) struct RequestBuffer {
    /// Bytes that are not parsed.
    pub bytes: BytesMut,
    /// The request whose body is being read.
    open: Option<OpenRequest>,
    memory: MemoryPool,
    /// Memory held for unparsed bytes, if they are many.
    unparsed: MemoryHold,
    /// Whether the buffer has been larger than what each connection takes; parsed bytes leave it as it is.
    is_large: bool,
}

/// A request whose body is being read.
struct OpenRequest {
    head: Request<()>,
    body: BodyReader,
    hold: MemoryHold,
}

/// A whole request.
pub(super) struct ReadRequest {
    pub request: WholeRequest,
    /// Memory held for all of the request but its body.
    pub hold: MemoryHold,
}

impl RequestBuffer {
    /// An empty buffer.
    pub fn new(memory: MemoryPool) -> Self {
        let unparsed = memory.hold();
        Self { bytes: BytesMut::new(), open: None, memory, unparsed, is_large: false }
    }

    /// Whether a request has begun.
    pub fn has_begun(&self) -> bool {
        self.open.is_some() || !self.bytes.is_empty()
    }

    /// Whether more is held for the request that has begun than an ordinary one takes.
    pub fn holds_much(&self) -> bool {
        let body = self.open.as_ref().map_or(0, |open| open.body.held_bytes());
        body + self.unparsed.bytes() > SMALL_HOLD_BYTES
    }

    /// Whether the client waits for leave to send the body.
    pub fn expects_continue(&self) -> bool {
        self.open.as_ref().is_some_and(|open| {
            let expect = open.head.headers().get(EXPECT);
            expect.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"))
        })
    }

    /// Bytes of the present body that have come in.
    pub fn body_bytes(&self) -> usize {
        self.open.as_ref().map_or(0, |open| open.body.len())
    }

    /// Whether the present body is so large that more of it is read at a time.
    pub fn reads_large_body(&self) -> bool {
        self.open.as_ref().is_some_and(|open| open.body.held_bytes() > LARGE_BODY_BYTES)
    }

    /// Makes room for further bytes, `length` of them if there is little left.
    pub fn reserve(&mut self, length: usize) {
        if self.bytes.capacity() - self.bytes.len() >= MIN_READ_BYTES {
            return;
        }
        self.bytes.reserve(length);
        self.is_large |= self.bytes.capacity() > UNHELD_BYTES;
    }

    /// Holds memory for the bytes that have come in, if they are many; gives back a large buffer once they are not.
    ///
    /// # Errors
    ///
    /// [`FramingError::NoMemory`].
    pub fn hold_unparsed(&mut self) -> Result<(), FramingError> {
        if self.bytes.len() > UNHELD_BYTES {
            return Ok(self.unparsed.raise_to(self.bytes.capacity())?);
        }
        if self.is_large && self.open.is_none() {
            self.bytes = BytesMut::from(&self.bytes[..]);
            self.is_large = false;
        }
        self.unparsed.lower_to(0);
        Ok(())
    }

    /// The next whole request, if there is one.
    ///
    /// # Errors
    ///
    /// [`FramingError`]; nothing more can be read then.
    pub fn next(&mut self, limits: &ConnectionLimits) -> Result<Option<ReadRequest>, FramingError> {
        if self.open.is_none() {
            let Some(head) = parse_head(&mut self.bytes, limits)? else { return Ok(None) };
            self.open = Some(self.begin(head, limits)?);
        }
        let Some(open) = &mut self.open else { return Ok(None) };
        if !open.body.read(&mut self.bytes)? {
            return Ok(None);
        }
        Ok(self.open.take().map(OpenRequest::finish))
    }

    fn begin(
        &self,
        ParsedHead { head, length }: ParsedHead,
        limits: &ConnectionLimits,
    ) -> Result<OpenRequest, FramingError> {
        let mut hold = self.memory.hold();
        hold.raise_to(REQUEST_BYTES + length)?;
        let body = BodyReader::new(head.headers(), limits.body_bytes, self.memory.hold())?;
        Ok(OpenRequest { head, body, hold })
    }
}

impl OpenRequest {
    fn finish(self) -> ReadRequest {
        let body = self.body.into_body();
        ReadRequest { request: self.head.map(|()| body), hold: self.hold }
    }
}

/// A head, and its length in bytes.
struct ParsedHead {
    head: Request<()>,
    length: usize,
}

fn parse_head(
    bytes: &mut BytesMut,
    limits: &ConnectionLimits,
) -> Result<Option<ParsedHead>, FramingError> {
    // An empty line before a request is passed over, as HTTP asks.
    while bytes.starts_with(b"\r\n") {
        bytes.advance(2);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) if length <= limits.head_bytes => {
            let head = request_of(&head)?;
            bytes.advance(length);
            Ok(Some(ParsedHead { head, length }))
        }
        Ok(httparse::Status::Partial) if bytes.len() <= limits.head_bytes => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(FramingError::HeadTooLarge),
        Err(_) => Err(FramingError::Malformed),
    }
}

fn request_of(head: &httparse::Request<'_, '_>) -> Result<Request<()>, FramingError> {
    let malformed = |_| FramingError::Malformed;
    let mut request = Request::new(());
    *request.method_mut() = Method::from_bytes(head.method.unwrap_or_default().as_bytes())
        .map_err(|_| FramingError::Malformed)?;
    *request.uri_mut() =
        Uri::try_from(head.path.unwrap_or_default()).map_err(|_| FramingError::Malformed)?;
    *request.version_mut() =
        if head.version == Some(0) { Version::HTTP_10 } else { Version::HTTP_11 };
    for header in head.headers.iter() {
        let name =
            HeaderName::from_bytes(header.name.as_bytes()).map_err(|_| FramingError::Malformed)?;
        let value = HeaderValue::from_bytes(header.value).map_err(malformed)?;
        request.headers_mut().append(name, value);
    }
    Ok(request)
}
