//! Encodes and decodes the frames of call connections.
//!
//! A frame starts with two little-endian 32-bit numbers: the call number with the frame kind, and the payload length in
//! bytes. The payload of a call or a reply is one packed Cap'n Proto message: zeros make up more than a third of a
//! message without a body, and traffic between failure domains is charged for.

use std::io;

use bytes::Bytes;
use capnp::{
    message::{Builder, HeapAllocator, Reader, ReaderOptions},
    serialize::OwnedSegments,
    serialize_packed,
};
use coltsfoot_wire::{
    peer::{CallReply, CallRequest, ReplyBody},
    peer_capnp::{call_reply, call_request},
};
use coltsfootroute::constants::MAX_BODY_BYTES;
use futures_util::{AsyncRead, AsyncReadExt as _};

use crate::memory::{MemoryFull, MemoryHold, MemoryPool, body_charge};

/// First bytes that a caller sends on a call connection. A connection for other requests begins with the segment count
/// of a message, which is never this large.
pub(super) const CALLS_PREFACE: [u8; FRAME_HEAD_BYTES] = *b"CFCALLS1";
/// First bytes that a caller sends on a connection for one call with a large body. Nodes of an earlier build take them for a
/// malformed message, and close the connection.
pub(super) const LARGE_CALL_PREFACE: [u8; FRAME_HEAD_BYTES] = *b"CFLARGE1";
/// Size of a frame header and of the preface, in bytes.
pub(super) const FRAME_HEAD_BYTES: usize = 8;

const KIND_BITS: u32 = 8;
const CALL: u32 = 1;
const REPLY: u32 = 2;
const CANCEL: u32 = 3;
const ACCEPT: u32 = 4;

/// Maximum size of a packed message in bytes: the largest body and the same amount for everything else.
const MAX_MESSAGE_BYTES: usize = 2 * MAX_BODY_BYTES;

/// Largest message or body for which no memory is held, in bytes: that of an ordinary call.
const UNHELD_BYTES: usize = 4 * 1024;

/// Space reserved for a call or a reply in addition to its body, in words of eight bytes; a larger message allocates
/// more.
const OVERHEAD_WORDS: u32 = 160;
/// Size of a Cap'n Proto word in bytes.
const WORD_BYTES: usize = 8;

/// A decoded frame.
pub(super) enum CallFrame {
    /// A call with the number that the caller assigned to it.
    Call(u32, Box<CallRequest>),
    /// The reply to the call with this number.
    Reply(u32, Box<CallReply>),
    /// The caller has cancelled the call with this number.
    Cancel(u32),
    /// The other node has memory for the body of the call with this number, which is sent behind it.
    Accept(u32),
    /// A call for which there was no memory; its content is lost.
    UnheldCall(u32),
    /// A reply for which there was no memory; its content is lost.
    UnheldReply(u32),
}

/// Maximum call number; numbers wrap to 0 after it. No call is in flight long enough for its number to be reused.
pub(super) const MAX_CALL_NUMBER: u32 = u32::MAX >> KIND_BITS;

/// Encodes a call as a frame.
pub(super) fn encode_call(number: u32, call: &CallRequest) -> Vec<u8> {
    let mut message = message_builder(call.body.len());
    call.write(message.init_root::<call_request::Builder<'_>>());
    encode_frame(number, CALL, &message)
}

/// Encodes a reply as a frame.
pub(super) fn encode_reply(number: u32, reply: &CallReply) -> Vec<u8> {
    let body = match &reply.body {
        ReplyBody::Answer { body, .. } => body.len(),
        ReplyBody::Refusal { .. } => 0,
    };
    let mut message = message_builder(body);
    reply.write(message.init_root::<call_reply::Builder<'_>>());
    encode_frame(number, REPLY, &message)
}

/// Encodes a frame that cancels a call.
pub(super) fn encode_cancel(number: u32) -> [u8; FRAME_HEAD_BYTES] {
    encode_head(number, CANCEL, 0)
}

/// Encodes a frame that asks for the body of a call.
pub(super) fn encode_accept(number: u32) -> [u8; FRAME_HEAD_BYTES] {
    encode_head(number, ACCEPT, 0)
}

/// Reads the next frame; returns `None` at the end of the connection. The body of a call or reply is held in `memory` until
/// its last clone is dropped.
///
/// # Errors
///
/// Returns an error if the connection fails within a frame, or a frame is malformed.
pub(super) async fn read_frame(
    reader: &mut (impl AsyncRead + Unpin),
    memory: &MemoryPool,
) -> Result<Option<CallFrame>, capnp::Error> {
    let mut head = [0; FRAME_HEAD_BYTES];
    match reader.read_exact(&mut head).await {
        Ok(()) => {}
        Err(err) if err.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
        Err(err) => return Err(err.into()),
    }
    let word = u64::from_le_bytes(head);
    // The lower half holds the call number and the kind, the upper half the payload length.
    let (tag, length) = (word as u32, (word >> u32::BITS) as usize);
    let number = tag >> KIND_BITS;
    let frame = match tag & ((1 << KIND_BITS) - 1) {
        CALL => match read_message(reader, length, memory).await? {
            Some(message) => read_call(number, message)?,
            None => CallFrame::UnheldCall(number),
        },
        REPLY => match read_message(reader, length, memory).await? {
            Some(message) => read_reply(number, message)?,
            None => CallFrame::UnheldReply(number),
        },
        CANCEL => CallFrame::Cancel(number),
        ACCEPT => CallFrame::Accept(number),
        kind => return Err(capnp::Error::failed(format!("a frame of kind {kind}"))),
    };
    Ok(Some(frame))
}

/// A message, and the memory that is held for it.
struct HeldMessage {
    reader: Reader<OwnedSegments>,
    hold: MemoryHold,
}

/// Reads a message of `length` bytes; without memory for it, passes it over and returns `None`.
async fn read_message(
    reader: &mut (impl AsyncRead + Unpin),
    length: usize,
    memory: &MemoryPool,
) -> Result<Option<HeldMessage>, capnp::Error> {
    if length > MAX_MESSAGE_BYTES {
        return Err(capnp::Error::failed(format!("a message of {length} bytes")));
    }
    let mut hold = memory.hold();
    if length > UNHELD_BYTES && hold.raise_to(length).is_err() {
        pass_over(reader, length).await?;
        return Ok(None);
    }
    let mut bytes = vec![0; length];
    reader.read_exact(&mut bytes).await?;
    let reader = serialize_packed::read_message(&bytes[..], ReaderOptions::new())?;
    Ok(Some(HeldMessage { reader, hold }))
}

/// Reads `length` bytes and drops them.
async fn pass_over(
    reader: &mut (impl AsyncRead + Unpin),
    length: usize,
) -> Result<(), capnp::Error> {
    // On the heap, so that the futures of all links are small.
    let mut piece = vec![0; UNHELD_BYTES];
    let mut left = length;
    while left > 0 {
        let next = left.min(piece.len());
        reader.read_exact(&mut piece[..next]).await?;
        left -= next;
    }
    Ok(())
}

/// Reads the call in a message, and holds its body.
fn read_call(number: u32, message: HeldMessage) -> Result<CallFrame, capnp::Error> {
    let mut call = CallRequest::read(message.reader.get_root()?)?;
    let Ok(body) = message.hold_body(call.body) else { return Ok(CallFrame::UnheldCall(number)) };
    call.body = body;
    Ok(CallFrame::Call(number, Box::new(call)))
}

/// Reads the reply in a message, and holds its body.
fn read_reply(number: u32, message: HeldMessage) -> Result<CallFrame, capnp::Error> {
    let mut reply = CallReply::read(message.reader.get_root()?)?;
    if let ReplyBody::Answer { body, .. } = &mut reply.body {
        let Ok(held) = message.hold_body(std::mem::take(body)) else {
            return Ok(CallFrame::UnheldReply(number));
        };
        *body = held;
    }
    Ok(CallFrame::Reply(number, Box::new(reply)))
}

impl HeldMessage {
    /// Holds the body that was read from the message. Zeros take no room in a message, but they do in a body.
    fn hold_body(mut self, body: Bytes) -> Result<Bytes, MemoryFull> {
        if body.len() > UNHELD_BYTES {
            self.hold.raise_to(body_charge(body.len()))?;
        }
        Ok(self.hold.with_bytes(body))
    }
}

fn message_builder(body_bytes: usize) -> Builder<HeapAllocator> {
    let body_words = u32::try_from(body_bytes / WORD_BYTES).unwrap_or_default();
    Builder::new(HeapAllocator::new().first_segment_words(OVERHEAD_WORDS + body_words))
}

fn encode_frame(number: u32, kind: u32, message: &Builder<HeapAllocator>) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FRAME_HEAD_BYTES + message.size_in_words() * WORD_BYTES);
    bytes.extend_from_slice(&[0; FRAME_HEAD_BYTES]);
    // Writing to a vector does not fail.
    let _ = serialize_packed::write_message(&mut bytes, message);
    let length = bytes.len() - FRAME_HEAD_BYTES;
    bytes[..FRAME_HEAD_BYTES].copy_from_slice(&encode_head(number, kind, length));
    bytes
}

fn encode_head(number: u32, kind: u32, length: usize) -> [u8; FRAME_HEAD_BYTES] {
    let tag = (number << KIND_BITS) | kind;
    // The body size is bounded, so the message size is too.
    let length = u32::try_from(length).unwrap_or(u32::MAX);
    ((u64::from(length) << u32::BITS) | u64::from(tag)).to_le_bytes()
}
