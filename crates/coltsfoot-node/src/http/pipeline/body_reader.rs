//! The framing of a request's body.

use bytes::{Buf, Bytes, BytesMut};
use http::{
    HeaderMap,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};

use super::FramingError;
use crate::memory::{MemoryHold, body_charge};

/// Longest line that states a chunk's size, or that stands in a trailer.
const MAX_LINE_BYTES: usize = 1_024;
/// Smallest buffer of a body whose length is not stated, in bytes.
const MIN_BUFFER_BYTES: usize = 4 * 1024;
/// Factor by which the buffer grows with the body: each step leaves the buffer before it to the allocator.
const GROWTH_FACTOR: usize = 4;
/// Largest buffer that grows so, in bytes. A longer body gets room for the longest at once, and is charged in such steps
/// as it grows: pages that nothing was written to take no memory.
const STEP_BYTES: usize = 1024 * 1024;

/// Reads one body, as it comes in.
pub(super) struct BodyReader {
    state: BodyState,
    body: BytesMut,
    limit: usize,
    /// Memory held for the body, at least for `charged` bytes of it.
    hold: MemoryHold,
    /// Bytes of a body that the hold is enough for.
    charged: usize,
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
    /// A reader of the body that `headers` announce, of at most `limit` bytes; a body of stated length is held from the
    /// start.
    ///
    /// # Errors
    ///
    /// [`FramingError`] if the length is malformed, stated in two ways or too large, or there is no memory for it.
    pub(super) fn new(
        headers: &HeaderMap,
        limit: usize,
        hold: MemoryHold,
    ) -> Result<Self, FramingError> {
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
        let mut reader = Self { state, body: BytesMut::new(), limit, hold, charged: 0 };
        if let BodyState::Sized(length) = state {
            reader.charge(length)?;
            reader.body.reserve(length);
        }
        Ok(reader)
    }

    /// Bytes of the body that have come in.
    pub(super) fn len(&self) -> usize {
        self.body.len()
    }

    /// Bytes that are held for the body.
    pub(super) fn held_bytes(&self) -> usize {
        self.hold.bytes()
    }

    /// The body, which keeps its memory held until its last clone is dropped.
    pub(super) fn into_body(self) -> Bytes {
        self.hold.with_bytes(self.body.freeze())
    }

    fn charge(&mut self, length: usize) -> Result<(), FramingError> {
        self.hold.raise_to(body_charge(length))?;
        self.charged = length;
        Ok(())
    }

    /// Makes room for `more` bytes of the body.
    fn make_room(&mut self, more: usize) -> Result<(), FramingError> {
        let needed = self.body.len() + more;
        if needed <= self.charged {
            return Ok(());
        }
        if needed > STEP_BYTES {
            self.charge(needed.next_multiple_of(STEP_BYTES))?;
            let missing = self.limit.saturating_sub(self.body.len());
            self.body.reserve(missing);
        } else {
            let grown = (GROWTH_FACTOR * self.charged).max(MIN_BUFFER_BYTES);
            self.charge(grown.max(needed).min(STEP_BYTES))?;
            self.body.reserve(self.charged - self.body.len());
        }
        Ok(())
    }

    /// Takes what belongs to the body off `buffer`; returns whether the body is whole.
    ///
    /// # Errors
    ///
    /// [`FramingError`] if a chunk is malformed, the body too large, or there is no memory for it.
    pub(super) fn read(&mut self, buffer: &mut BytesMut) -> Result<bool, FramingError> {
        loop {
            let next = match self.state {
                BodyState::Sized(missing) => self.take(buffer, missing, BodyState::Done)?,
                BodyState::Chunk(missing) => self.take(buffer, missing, BodyState::ChunkEnd)?,
                BodyState::ChunkSize => self.chunk_size(buffer)?,
                BodyState::ChunkEnd => chunk_end(buffer)?,
                BodyState::Trailer => trailer(buffer)?,
                BodyState::Done => return Ok(true),
            };
            match next {
                Some(next) => self.state = next,
                None => return Ok(false),
            }
        }
    }

    fn take(
        &mut self,
        buffer: &mut BytesMut,
        missing: usize,
        then: BodyState,
    ) -> Result<Option<BodyState>, FramingError> {
        let taken = missing.min(buffer.len());
        self.make_room(taken)?;
        self.body.extend_from_slice(&buffer.split_to(taken));
        if taken == missing {
            return Ok(Some(then));
        }
        self.state = match self.state {
            BodyState::Chunk(_) => BodyState::Chunk(missing - taken),
            _ => BodyState::Sized(missing - taken),
        };
        Ok(None)
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
