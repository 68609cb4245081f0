//! Serves the calls that another node sends on a call connection.

use std::{cell::RefCell, rc::Rc};

use bytes::Bytes;
use coltsfoot_wire::peer::{CallReply, CallRequest, ReplyBody};
use indexmap::IndexMap;
use tokio::task::{AbortHandle, JoinSet};

use super::{
    CallHandler,
    call_frame::{CallFrame, encode_reply, read_frame},
    link_stream::{LinkReader, LinkWriter},
};
use crate::journal::LOG_TARGET;

/// Calls in flight on one connection, by call number.
type RunningCalls = Rc<RefCell<IndexMap<u32, AbortHandle>>>;

/// Serves the calls of one connection until it ends; then cancels the calls in flight.
pub async fn serve_calls<H: CallHandler + 'static>(
    mut reader: LinkReader,
    writer: LinkWriter,
    handler: Rc<H>,
) {
    let writer = Rc::new(writer);
    let running = RunningCalls::default();
    // Dropped with this future, which cancels all its calls.
    let mut calls = JoinSet::new();
    loop {
        match read_frame(&mut reader, handler.memory()).await {
            Ok(Some(CallFrame::Call(number, call))) => {
                let task =
                    serve_call(number, call, handler.clone(), writer.clone(), running.clone());
                let abort = calls.spawn_local(task);
                running.borrow_mut().insert(number, abort);
            }
            Ok(Some(CallFrame::Cancel(number))) => {
                if let Some(abort) = running.borrow_mut().swap_remove(&number) {
                    abort.abort();
                }
            }
            Ok(Some(CallFrame::UnheldCall(number))) => {
                writer.send(&encode_reply(number, &handler.refuse_unheld()));
            }
            Ok(
                Some(CallFrame::Reply(..) | CallFrame::UnheldReply(_) | CallFrame::Accept(_))
                | None,
            ) => return,
            Err(err) => {
                log::warn!(
                    target: LOG_TARGET,
                    "level=warn event=call-link-failed error={:?}", err.to_string()
                );
                return;
            }
        }
        while calls.try_join_next().is_some() {}
    }
}

async fn serve_call<H: CallHandler>(
    number: u32,
    call: Box<CallRequest>,
    handler: Rc<H>,
    writer: Rc<LinkWriter>,
    running: RunningCalls,
) {
    let open = handler.answers().begin_within(call.remaining);
    // Boxed to keep the task small to move while it is set up.
    let reply = Box::pin(handler.call(*call)).await;
    running.borrow_mut().swap_remove(&number);
    let frame = encode_reply(number, &reply);
    writer.send_answer(frame, body_of(reply), open);
}

pub(super) fn body_of(reply: CallReply) -> Bytes {
    match reply.body {
        ReplyBody::Answer { body, .. } => body,
        ReplyBody::Refusal { .. } => Bytes::new(),
    }
}
