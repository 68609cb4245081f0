//! Connections to other nodes for calls.
//!
//! Calls make up nearly all of the traffic between nodes. `capnp-rpc`, which carries the other requests, spends 23 % of
//! a busy guard's processor time on promises and on three messages per call (profile of a guard with some thousand
//! calls per second). Here a call is one message each way, and one more only if it is cancelled.

use std::{
    cell::{Cell, RefCell},
    rc::{Rc, Weak},
    time::Duration,
};

use coltsfoot_wire::peer::{CallReply, CallRequest};
use coltsfootroute::outcome::{CallOutcome, RefusalReason};
use indexmap::IndexMap;
use tokio::{net::TcpStream, sync::oneshot, task::spawn_local};

use super::{
    LinkError,
    call_frame::{
        CALLS_PREFACE, CallFrame, MAX_CALL_NUMBER, encode_call, encode_cancel, read_frame,
    },
    link_stream::{LinkReader, LinkWriter, link_stream},
};
use crate::{journal::LOG_TARGET, memory::MemoryPool};

/// A connection to another node for calls; cheap to clone, and closed when the last clone is dropped.
#[derive(Clone)]
pub struct CallLink {
    state: Rc<LinkState>,
}

struct LinkState {
    writer: LinkWriter,
    next_number: Cell<u32>,
    /// Calls without a reply, by call number; `None` once the connection has ended.
    pending: RefCell<Option<IndexMap<u32, oneshot::Sender<CallReply>>>>,
}

impl CallLink {
    /// Starts the call protocol on a newly opened connection, whose replies are held in `memory`; `registration` is dropped
    /// when the connection ends. Must be called within a `LocalSet`.
    pub fn open(stream: TcpStream, memory: MemoryPool, registration: impl Sized + 'static) -> Self {
        let (reader, writer) = link_stream(stream);
        writer.send(&CALLS_PREFACE);
        let pending = RefCell::new(Some(IndexMap::new()));
        let state = Rc::new(LinkState { writer, next_number: Cell::new(0), pending });
        let weak = Rc::downgrade(&state);
        spawn_local(async move {
            dispatch_replies(reader, &memory, &weak).await;
            drop(registration);
            if let Some(state) = weak.upgrade() {
                // Dropping the senders fails the calls that still wait for a reply.
                state.pending.take();
            }
        });
        Self { state }
    }

    /// Sends a call and waits for its reply. Dropping the future cancels the call, at the other node as well.
    ///
    /// # Errors
    ///
    /// [`LinkError::Unreachable`] if the connection had already ended, or the other node does not read;
    /// [`LinkError::Ended`] if it ends before the reply arrives, in which case the call may have run.
    pub async fn call(&self, call: &CallRequest) -> Result<CallReply, LinkError> {
        if self.state.writer.is_blocked() {
            return Err(LinkError::Unreachable);
        }
        let number = self.state.next_number.get();
        self.state.next_number.set((number + 1) & MAX_CALL_NUMBER);
        let (sender, receiver) = oneshot::channel();
        self.state
            .pending
            .borrow_mut()
            .as_mut()
            .ok_or(LinkError::Unreachable)?
            .insert(number, sender);
        let _pending = PendingCall { state: &self.state, number };
        self.state.writer.send_frame(encode_call(number, call), call.body.clone());
        receiver.await.map_err(|_| LinkError::Ended)
    }
}

/// A call in flight; sends a cancel frame to the other node if it is dropped before the reply arrives.
struct PendingCall<'a> {
    state: &'a LinkState,
    number: u32,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        let removed = self.state.remove_pending(self.number);
        if removed.is_some() {
            self.state.writer.send(&encode_cancel(self.number));
        }
    }
}

impl LinkState {
    /// Removes a call from those without a reply; returns `None` if it is not among them.
    fn remove_pending(&self, number: u32) -> Option<oneshot::Sender<CallReply>> {
        self.pending.borrow_mut().as_mut()?.swap_remove(&number)
    }
}

/// Delivers replies to their callers until the connection ends.
async fn dispatch_replies(mut reader: LinkReader, memory: &MemoryPool, state: &Weak<LinkState>) {
    loop {
        let (number, reply) = match read_frame(&mut reader, memory).await {
            Ok(Some(CallFrame::Reply(number, reply))) => (number, *reply),
            Ok(Some(CallFrame::UnheldReply(number))) => (number, unheld_reply()),
            Ok(
                Some(
                    CallFrame::Call(..)
                    | CallFrame::Cancel(_)
                    | CallFrame::Accept(_)
                    | CallFrame::UnheldCall(_),
                )
                | None,
            ) => {
                return;
            }
            Err(err) => {
                log::warn!(
                    target: LOG_TARGET,
                    "level=warn event=call-link-failed error={:?}", err.to_string()
                );
                return;
            }
        };
        let Some(state) = state.upgrade() else { return };
        // A reply to a call that has been cancelled is dropped.
        if let Some(sender) = state.remove_pending(number) {
            let _ = sender.send(reply);
        }
    }
}

/// What a caller gets in place of a reply for which there was no memory: the call has run.
pub(super) fn unheld_reply() -> CallReply {
    CallReply::refusal(RefusalReason::UpstreamFailed, CallOutcome::Unknown, Duration::ZERO)
}
