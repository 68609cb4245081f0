//! The framing of a request's body.

use bytes::{Buf, Bytes, BytesMut};
use http::{
    HeaderMap,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};

use super::FramingError;

/// Longest line that states a chunk's size, or that stands in a trailer.
const MAX_LINE_BYTES: usize = 1_024;

/// Reads one body, as it comes in.
#[derive(Debug)]
pub(super) struct BodyReader {
    state: BodyState,
    body: BytesMut,
    limit: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyState {
    /// So many bytes of a body of stated length are missing.
    Sized(usize),
    /// A chunk's size comes next.
    ChunkSize,
    /// So many bytes of a chunk are missing.
    Chunk(usize),
    /// The end of a chunk's line comes next.
    ChunkEnd,
    /// Lines of a trailer, which are dropped, up to an empty one.
    Trailer,
    /// Nothing is missing.
    Done,
}

impl BodyReader {
    /// A reader of the body that `headers` announce, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// [`FramingError`] if the length is malformed, stated in two ways or too large.
    pub(super) fn new(headers: &HeaderMap, limit: usize) -> Result<Self, FramingError> {
        let state = match (headers.get(TRANSFER_ENCODING), stated_length(headers)?) {
            (Some(_), Some(_)) => return Err(FramingError::Malformed),
            (Some(encoding), None) => {
                let is_repeated = headers.get_all(TRANSFER_ENCODING).iter().count() > 1;
                if is_repeated || !encoding.as_bytes().eq_ignore_ascii_case(b"chunked") {
                    return Err(FramingError::Malformed);
                }
                BodyState::ChunkSize
            }
            (None, Some(length)) if length > limit => return Err(FramingError::BodyTooLarge),
            (None, Some(length)) => BodyState::Sized(length),
            (None, None) => BodyState::Sized(0),
        };
        Ok(Self { state, body: BytesMut::new(), limit })
    }

    /// Takes what belongs to the body off `buffer`; gives the body once it is whole.
    ///
    /// # Errors
    ///
    /// [`FramingError`] if a chunk is malformed or the body too large.
    pub(super) fn read(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, FramingError> {
        loop {
            let next = match self.state {
                BodyState::Sized(missing) => self.take(buffer, missing, BodyState::Done),
                BodyState::Chunk(missing) => self.take(buffer, missing, BodyState::ChunkEnd),
                BodyState::ChunkSize => self.chunk_size(buffer)?,
                BodyState::ChunkEnd => chunk_end(buffer)?,
                BodyState::Trailer => trailer(buffer)?,
                BodyState::Done => return Ok(Some(std::mem::take(&mut self.body).freeze())),
            };
            match next {
                Some(next) => self.state = next,
                None => return Ok(None),
            }
        }
    }

    fn take(
        &mut self,
        buffer: &mut BytesMut,
        missing: usize,
        then: BodyState,
    ) -> Option<BodyState> {
        let taken = missing.min(buffer.len());
        self.body.extend_from_slice(&buffer.split_to(taken));
        if taken == missing {
            return Some(then);
        }
        self.state = match self.state {
            BodyState::Chunk(_) => BodyState::Chunk(missing - taken),
            _ => BodyState::Sized(missing - taken),
        };
        None
    }

    fn chunk_size(&self, buffer: &mut BytesMut) -> Result<Option<BodyState>, FramingError> {
        match httparse::parse_chunk_size(buffer) {
            Ok(httparse::Status::Complete((line, size))) => {
                buffer.advance(line);
                let size = usize::try_from(size).map_err(|_| FramingError::BodyTooLarge)?;
                if size > self.limit - self.body.len() {
                    return Err(FramingError::BodyTooLarge);
                }
                Ok(Some(if size == 0 { BodyState::Trailer } else { BodyState::Chunk(size) }))
            }
            Ok(httparse::Status::Partial) if buffer.len() <= MAX_LINE_BYTES => Ok(None),
            _ => Err(FramingError::Malformed),
        }
    }
}

fn stated_length(headers: &HeaderMap) -> Result<Option<usize>, FramingError> {
    let mut values = headers.get_all(CONTENT_LENGTH).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.any(|other| other != value) {
        return Err(FramingError::Malformed);
    }
    let text = value.to_str().map_err(|_| FramingError::Malformed)?;
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(FramingError::Malformed);
    }
    // Digits alone: a number that does not fit is too large.
    text.parse().map(Some).map_err(|_| FramingError::BodyTooLarge)
}

fn chunk_end(buffer: &mut BytesMut) -> Result<Option<BodyState>, FramingError> {
    if buffer.len() < LINE_END.len() {
        return Ok(None);
    }
    if !buffer.starts_with(LINE_END) {
        return Err(FramingError::Malformed);
    }
    buffer.advance(LINE_END.len());
    Ok(Some(BodyState::ChunkSize))
}

fn trailer(buffer: &mut BytesMut) -> Result<Option<BodyState>, FramingError> {
    let Some(end) = buffer.windows(LINE_END.len()).position(|window| window == LINE_END) else {
        return match buffer.len() <= MAX_LINE_BYTES {
            true => Ok(None),
            false => Err(FramingError::Malformed),
        };
    };
    buffer.advance(end + LINE_END.len());
    Ok(Some(if end == 0 { BodyState::Done } else { BodyState::Trailer }))
}

const LINE_END: &[u8] = b"\r\n";
