//! The byte stream under a connection to another node: few system calls for many messages.

use std::{
    cell::RefCell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, Waker},
};

use futures_util::{AsyncWrite, io::BufReader};
use tokio::{
    io::AsyncWriteExt as _,
    net::{TcpStream, tcp::OwnedReadHalf},
    sync::Notify,
    task::{spawn_local, yield_now},
};
use tokio_util::compat::{Compat, TokioAsyncReadCompatExt as _};

/// Bytes read at a time: some ten calls. Each connection holds so much.
const READ_BUFFER_BYTES: usize = 4 * 1024;
/// Bytes that wait to be sent before the protocol is held back: the largest message fits several times.
const MAX_PENDING_BYTES: usize = 4 * 1024 * 1024;
/// Room that an emptied buffer keeps.
const RETAINED_CAPACITY_BYTES: usize = 4 * 1024;

/// The reading side of a connection.
pub type LinkReader = BufReader<Compat<OwnedReadHalf>>;

/// What waits to be sent on a connection.
#[derive(Default)]
struct PendingBytes {
    bytes: Vec<u8>,
    /// Whether nothing more will come.
    is_closed: bool,
    /// Why nothing can be sent any more.
    failure: Option<io::ErrorKind>,
    /// The protocol, held back until there is room.
    blocked_writer: Option<Waker>,
}

#[derive(Default)]
struct SendQueue {
    pending: RefCell<PendingBytes>,
    changed: Notify,
}

/// The writing side of a connection. What is written while the same events are worked on goes out in one system
/// call: by itself a message of capnp-rpc takes two or three, and a frame takes one.
pub struct LinkWriter {
    queue: Rc<SendQueue>,
}

/// Splits a connection to another node into its sides. Call it within a `LocalSet`.
pub fn link_stream(stream: TcpStream) -> (LinkReader, LinkWriter) {
    let (reader, writer) = stream.into_split();
    (BufReader::with_capacity(READ_BUFFER_BYTES, reader.compat()), LinkWriter::new(writer))
}

/// Sends what is written until the writing side is closed or the connection fails.
async fn send_pending(mut writer: impl tokio::io::AsyncWrite + Unpin, queue: Rc<SendQueue>) {
    let mut bytes = Vec::new();
    loop {
        if queue.pending.borrow().bytes.is_empty() {
            if queue.pending.borrow().is_closed {
                return;
            }
            queue.changed.notified().await;
            // Whoever else has something to say by now says it first.
            yield_now().await;
        }
        queue.take_pending(&mut bytes);
        if let Err(err) = writer.write_all(&bytes).await {
            queue.fail(err.kind());
            return;
        }
        bytes.clear();
        bytes.shrink_to(RETAINED_CAPACITY_BYTES);
    }
}

impl SendQueue {
    /// Moves what waits into `bytes`, which is empty, and lets the protocol go on.
    fn take_pending(&self, bytes: &mut Vec<u8>) {
        let mut pending = self.pending.borrow_mut();
        std::mem::swap(&mut pending.bytes, bytes);
        if let Some(waker) = pending.blocked_writer.take() {
            waker.wake();
        }
    }

    fn fail(&self, kind: io::ErrorKind) {
        let mut pending = self.pending.borrow_mut();
        pending.failure = Some(kind);
        pending.bytes = Vec::new();
        if let Some(waker) = pending.blocked_writer.take() {
            waker.wake();
        }
    }

    fn close(&self) {
        self.pending.borrow_mut().is_closed = true;
        self.changed.notify_one();
    }
}

impl LinkWriter {
    /// A writing side whose bytes go to `writer`, by a task of the current `LocalSet`. What was written before it is
    /// dropped is still sent.
    pub fn new(writer: impl tokio::io::AsyncWrite + Unpin + 'static) -> Self {
        let queue = Rc::<SendQueue>::default();
        spawn_local(send_pending(writer, queue.clone()));
        Self { queue }
    }

    /// Has `bytes` sent, however many wait already. A connection that has failed sends nothing: its reading side ends.
    pub fn send(&self, bytes: &[u8]) {
        let mut pending = self.queue.pending.borrow_mut();
        if pending.failure.is_none() {
            pending.bytes.extend_from_slice(bytes);
            self.queue.changed.notify_one();
        }
    }
}

impl AsyncWrite for LinkWriter {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut pending = self.queue.pending.borrow_mut();
        if let Some(kind) = pending.failure {
            return Poll::Ready(Err(kind.into()));
        }
        if pending.bytes.len() >= MAX_PENDING_BYTES {
            pending.blocked_writer = Some(context.waker().clone());
            return Poll::Pending;
        }
        pending.bytes.extend_from_slice(bytes);
        Poll::Ready(Ok(bytes.len()))
    }

    /// Has the bytes sent, without waiting for it.
    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let pending = self.queue.pending.borrow();
        if let Some(kind) = pending.failure {
            return Poll::Ready(Err(kind.into()));
        }
        if !pending.bytes.is_empty() {
            self.queue.changed.notify_one();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.queue.close();
        Poll::Ready(Ok(()))
    }
}

impl Drop for LinkWriter {
    fn drop(&mut self) {
        self.queue.close();
    }
}
