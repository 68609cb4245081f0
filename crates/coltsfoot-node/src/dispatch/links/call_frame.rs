//! Frames of the connection that calls go over.
//!
//! A frame is two numbers of four bytes, little-endian: one with the number of a call and the kind of the frame, and the
//! length of what follows. That is, for a call and its reply, one Cap'n Proto message in its packed form: zeros make more
//! than a third of a message without a body, and bytes between failure domains have their price.

use std::io;

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

/// What a caller sends first. A connection for other questions begins with the number of a message's segments, which
/// is never so large.
pub(super) const CALLS_PREFACE: [u8; FRAME_HEAD_BYTES] = *b"CFCALLS1";
/// Bytes of a frame's head, and of the preface.
pub(super) const FRAME_HEAD_BYTES: usize = 8;

const KIND_BITS: u32 = 8;
const CALL: u32 = 1;
const REPLY: u32 = 2;
const CANCEL: u32 = 3;

/// Longest packed message: a body and as much again for everything else.
const MAX_MESSAGE_BYTES: usize = 2 * MAX_BODY_BYTES;

/// Room for a call or a reply beside its body, in words of eight bytes; more is allocated where it does not do.
const OVERHEAD_WORDS: u32 = 160;
/// Bytes in a word.
const WORD_BYTES: usize = 8;

/// One frame, read.
pub(super) enum CallFrame {
    /// A call that the caller numbers.
    Call(u32, Box<CallRequest>),
    /// The reply to a call.
    Reply(u32, Box<CallReply>),
    /// The caller has given the call up.
    Cancel(u32),
}

/// Numbers go from 0 up to this and then begin anew: no call is under way for so long.
pub(super) const MAX_CALL_NUMBER: u32 = u32::MAX >> KIND_BITS;

/// The frame of a call.
pub(super) fn encode_call(number: u32, call: &CallRequest) -> Vec<u8> {
    let mut message = message_builder(call.body.len());
    call.write(message.init_root::<call_request::Builder<'_>>());
    encode_frame(number, CALL, &message)
}

/// The frame of a reply.
pub(super) fn encode_reply(number: u32, reply: &CallReply) -> Vec<u8> {
    let body = match &reply.body {
        ReplyBody::Answer { body, .. } => body.len(),
        ReplyBody::Refusal { .. } => 0,
    };
    let mut message = message_builder(body);
    reply.write(message.init_root::<call_reply::Builder<'_>>());
    encode_frame(number, REPLY, &message)
}

/// The frame that gives a call up.
pub(super) fn encode_cancel(number: u32) -> [u8; FRAME_HEAD_BYTES] {
    encode_head(number, CANCEL, 0)
}

/// Reads the next frame; `None` at the end of the connection.
///
/// # Errors
///
/// If the connection fails within a frame, or a frame is malformed.
pub(super) async fn read_frame(
    reader: &mut (impl AsyncRead + Unpin),
) -> Result<Option<CallFrame>, capnp::Error> {
    let mut head = [0; FRAME_HEAD_BYTES];
    match reader.read_exact(&mut head).await {
        Ok(()) => {}
        Err(err) if err.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
        Err(err) => return Err(err.into()),
    }
    let word = u64::from_le_bytes(head);
    // The lower half is number and kind, the upper half the length.
    let (tag, length) = (word as u32, (word >> u32::BITS) as usize);
    let number = tag >> KIND_BITS;
    let frame = match tag & ((1 << KIND_BITS) - 1) {
        CALL => {
            let message = read_message(reader, length).await?;
            CallFrame::Call(number, Box::new(CallRequest::read(message.get_root()?)?))
        }
        REPLY => {
            let message = read_message(reader, length).await?;
            CallFrame::Reply(number, Box::new(CallReply::read(message.get_root()?)?))
        }
        CANCEL => CallFrame::Cancel(number),
        kind => return Err(capnp::Error::failed(format!("a frame of kind {kind}"))),
    };
    Ok(Some(frame))
}

async fn read_message(
    reader: &mut (impl AsyncRead + Unpin),
    length: usize,
) -> Result<Reader<OwnedSegments>, capnp::Error> {
    if length > MAX_MESSAGE_BYTES {
        return Err(capnp::Error::failed(format!("a message of {length} bytes")));
    }
    let mut bytes = vec![0; length];
    reader.read_exact(&mut bytes).await?;
    serialize_packed::read_message(&bytes[..], ReaderOptions::new())
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
    // Bodies are bounded, and messages with them.
    let length = u32::try_from(length).unwrap_or(u32::MAX);
    ((u64::from(length) << u32::BITS) | u64::from(tag)).to_le_bytes()
}
