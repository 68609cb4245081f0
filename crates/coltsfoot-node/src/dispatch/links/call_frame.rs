//! Frames of the connection that calls go over.
//!
//! A frame is a word of eight bytes, little-endian, with the number of a call and the kind of the frame, and then, for
//! a call and its reply, one Cap'n Proto message in its standard stream form.

use std::io;

use capnp::{
    message::{Builder, HeapAllocator, Reader, ReaderOptions},
    serialize::OwnedSegments,
};
use coltsfoot_wire::{
    peer::{CallReply, CallRequest, ReplyBody},
    peer_capnp::{call_reply, call_request},
};
use futures_util::{AsyncRead, AsyncReadExt as _};

/// What a caller sends first. A connection for other questions begins with the number of a message's segments, which
/// is never so large.
pub(super) const PREFACE: [u8; FRAME_HEAD] = *b"CFCALLS1";
/// Bytes of a frame's head, and of the preface.
pub(super) const FRAME_HEAD: usize = 8;

const KIND_BITS: u32 = 8;
const CALL: u64 = 1;
const REPLY: u64 = 2;
const CANCEL: u64 = 3;

/// Room for a call or a reply beside its body, in words of eight bytes; more is allocated where it does not do.
const USUAL_WORDS: u32 = 160;
/// Bytes in a word.
const WORD_BYTES: usize = 8;

/// One frame, read.
pub(super) enum CallFrame {
    /// A call that the caller numbers; numbers are not used again on a connection.
    Call(u64, Box<CallRequest>),
    /// The reply to a call.
    Reply(u64, Box<CallReply>),
    /// The caller has given the call up.
    Cancel(u64),
}

/// The frame of a call.
pub(super) fn call_frame(number: u64, call: &CallRequest) -> Vec<u8> {
    let mut message = message_for(call.body.len());
    call.write(message.init_root::<call_request::Builder<'_>>());
    framed(number, CALL, &message)
}

/// The frame of a reply.
pub(super) fn reply_frame(number: u64, reply: &CallReply) -> Vec<u8> {
    let body = match &reply.body {
        ReplyBody::Answer { body, .. } => body.len(),
        ReplyBody::Refusal { .. } => 0,
    };
    let mut message = message_for(body);
    reply.write(message.init_root::<call_reply::Builder<'_>>());
    framed(number, REPLY, &message)
}

/// The frame that gives a call up.
pub(super) fn cancel_frame(number: u64) -> [u8; FRAME_HEAD] {
    head(number, CANCEL)
}

/// Reads the next frame; `None` at the end of the connection.
///
/// # Errors
///
/// If the connection fails within a frame, or a frame is malformed.
pub(super) async fn read_frame(
    reader: &mut (impl AsyncRead + Unpin),
) -> Result<Option<CallFrame>, capnp::Error> {
    let mut bytes = [0; FRAME_HEAD];
    match reader.read_exact(&mut bytes).await {
        Ok(()) => {}
        Err(err) if err.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
        Err(err) => return Err(err.into()),
    }
    let word = u64::from_le_bytes(bytes);
    let number = word >> KIND_BITS;
    let frame = match word & ((1 << KIND_BITS) - 1) {
        CALL => {
            let message = read_message(reader).await?;
            CallFrame::Call(number, Box::new(CallRequest::read(message.get_root()?)?))
        }
        REPLY => {
            let message = read_message(reader).await?;
            CallFrame::Reply(number, Box::new(CallReply::read(message.get_root()?)?))
        }
        CANCEL => CallFrame::Cancel(number),
        kind => return Err(capnp::Error::failed(format!("a frame of kind {kind}"))),
    };
    Ok(Some(frame))
}

async fn read_message(
    reader: &mut (impl AsyncRead + Unpin),
) -> Result<Reader<OwnedSegments>, capnp::Error> {
    capnp_futures::serialize::read_message(reader, ReaderOptions::new()).await
}

fn message_for(body_bytes: usize) -> Builder<HeapAllocator> {
    let body_words = u32::try_from(body_bytes / WORD_BYTES).unwrap_or_default();
    Builder::new(HeapAllocator::new().first_segment_words(USUAL_WORDS + body_words))
}

fn framed(number: u64, kind: u64, message: &Builder<HeapAllocator>) -> Vec<u8> {
    let words = message.size_in_words();
    let mut bytes = Vec::with_capacity(FRAME_HEAD + (words + 2) * WORD_BYTES);
    bytes.extend_from_slice(&head(number, kind));
    // Writing to a vector does not fail.
    let _ = capnp::serialize::write_message(&mut bytes, message);
    bytes
}

fn head(number: u64, kind: u64) -> [u8; FRAME_HEAD] {
    ((number << KIND_BITS) | kind).to_le_bytes()
}
