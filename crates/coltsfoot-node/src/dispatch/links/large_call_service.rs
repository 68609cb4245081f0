//! Serves a call with a large body that another node sends on a connection of its own.

use std::{rc::Rc, time::Instant};

use coltsfoot_wire::peer::CallRequest;
use futures_util::AsyncReadExt as _;
use tokio::time::timeout;

use super::{
    CallHandler,
    call_frame::{CallFrame, encode_accept, encode_reply, read_frame},
    call_service::body_of,
    large_call::PIECE_BYTES,
    link_stream::{LinkReader, LinkWriter},
};
use crate::memory::HeldBuffer;

/// Serves the call of one connection; cancels it if the connection ends first.
pub(super) async fn serve_large_call<H: CallHandler>(
    mut reader: LinkReader,
    writer: LinkWriter,
    handler: Rc<H>,
) {
    let Some(length) = read_length(&mut reader).await else { return };
    let Ok(Some(CallFrame::Call(number, mut call))) =
        read_frame(&mut reader, handler.memory()).await
    else {
        return;
    };
    let received = Instant::now();
    let mut body = HeldBuffer::new(handler.memory());
    if body.reserve(length).is_err() {
        return writer.send(&encode_reply(number, &handler.refuse_unheld()));
    }
    writer.send(&encode_accept(number));
    let reading = read_body(&mut reader, &mut body, length);
    if !timeout(call.remaining, reading).await.is_ok_and(|read| read.is_some()) {
        return;
    }
    call.body = body.into_bytes();
    // The time in which the body came is part of the time that the caller has.
    call.remaining = call.remaining.saturating_sub(received.elapsed());
    tokio::select! {
        () = answer(number, *call, &writer, handler) => {}
        () = closed(&mut reader) => {}
    }
}

async fn answer<H: CallHandler>(
    number: u32,
    call: CallRequest,
    writer: &LinkWriter,
    handler: Rc<H>,
) {
    let open = handler.answers().begin_within(call.remaining);
    let reply = handler.call(call).await;
    let frame = encode_reply(number, &reply);
    writer.send_answer(frame, body_of(reply), open);
}

async fn read_length(reader: &mut LinkReader) -> Option<usize> {
    let mut bytes = [0; 8];
    reader.read_exact(&mut bytes).await.ok()?;
    usize::try_from(u64::from_le_bytes(bytes)).ok()
}

/// Reads a body of `length` bytes; returns `None` if the connection ends before.
async fn read_body(reader: &mut LinkReader, body: &mut HeldBuffer, length: usize) -> Option<()> {
    let mut piece = vec![0; PIECE_BYTES];
    while body.len() < length {
        let most = piece.len().min(length - body.len());
        let read = reader.read(&mut piece[..most]).await.ok().filter(|read| *read > 0)?;
        body.extend(&piece[..read]).ok()?;
    }
    Some(())
}

/// Waits until the caller has closed the connection; it sends nothing more.
async fn closed(reader: &mut LinkReader) {
    // Whether it ends in order or not, nobody waits for the reply.
    let _ = reader.read(&mut [0]).await;
}
