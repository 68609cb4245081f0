//! What has come in on a connection and is no whole request yet.

use bytes::{Buf, BytesMut};
use http::{HeaderName, HeaderValue, Method, Request, Uri, Version, header::EXPECT};

use super::{ConnectionLimits, FramingError, WholeRequest, body_reader::BodyReader};

/// Headers of a request at most.
const MAX_HEADERS: usize = 100;

/// What has come in on a connection and is no whole request yet.
#[derive(Debug, Default)]
pub(super) struct RequestBuffer {
    /// Bytes that are not parsed.
    pub bytes: BytesMut,
    /// The request whose body is being read.
    open: Option<(Request<()>, BodyReader)>,
}

impl RequestBuffer {
    /// Whether a request has begun.
    pub fn has_begun(&self) -> bool {
        self.open.is_some() || !self.bytes.is_empty()
    }

    /// Whether the client waits for leave to send the body.
    pub fn expects_continue(&self) -> bool {
        self.open.as_ref().is_some_and(|(request, _)| {
            let expect = request.headers().get(EXPECT);
            expect.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"))
        })
    }

    /// The next whole request, if there is one.
    ///
    /// # Errors
    ///
    /// [`FramingError`]; nothing more can be read then.
    pub fn next(
        &mut self,
        limits: &ConnectionLimits,
    ) -> Result<Option<WholeRequest>, FramingError> {
        if self.open.is_none() {
            let Some(head) = parse_head(&mut self.bytes, limits)? else { return Ok(None) };
            let body = BodyReader::new(head.headers(), limits.body_bytes)?;
            self.open = Some((head, body));
        }
        let Some((_, reader)) = &mut self.open else { return Ok(None) };
        let Some(body) = reader.read(&mut self.bytes)? else { return Ok(None) };
        Ok(self.open.take().map(|(head, _)| head.map(|()| body)))
    }
}

fn parse_head(
    bytes: &mut BytesMut,
    limits: &ConnectionLimits,
) -> Result<Option<Request<()>>, FramingError> {
    // An empty line before a request is passed over, as HTTP asks.
    while bytes.starts_with(b"\r\n") {
        bytes.advance(2);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) if length <= limits.head_bytes => {
            let request = request_of(&head)?;
            bytes.advance(length);
            Ok(Some(request))
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
