//! Byte stream of a connection to another node, which batches messages to save system calls.

use std::{
    cell::RefCell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, Waker},
};

use bytes::Bytes;
use futures_util::{AsyncWrite, io::BufReader};
use tokio::{
    io::AsyncWriteExt as _,
    net::{TcpStream, tcp::OwnedReadHalf},
    sync::Notify,
    task::{spawn_local, yield_now},
};
use tokio_util::compat::{Compat, TokioAsyncReadCompatExt as _};

use crate::answers::OpenAnswer;

/// Size of the read buffer of each connection in bytes: about ten calls.
const READ_BUFFER_BYTES: usize = 4 * 1024;
/// Number of pending bytes from which writes of the protocol are blocked; several times the largest message.
const MAX_PENDING_BYTES: usize = 4 * 1024 * 1024;
/// Capacity in bytes that an emptied buffer retains.
const RETAINED_CAPACITY_BYTES: usize = 4 * 1024;

/// The reading side of a connection.
pub type LinkReader = BufReader<Compat<OwnedReadHalf>>;

/// Size of a frame in bytes from which on it is sent as it is, and not copied to the others.
const LARGE_FRAME_BYTES: usize = 16 * 1024;

/// Bytes waiting to be sent on a connection.
#[derive(Default)]
struct PendingBytes {
    batch: SendBatch,
    /// Whether the writing side is closed.
    is_closed: bool,
    /// Error with which the connection failed, if it did.
    failure: Option<io::ErrorKind>,
    /// Waker of the protocol while its write is blocked.
    blocked_writer: Option<Waker>,
}

/// Bytes that are sent together.
#[derive(Default)]
struct SendBatch {
    /// What comes before `bytes`: large frames, and the bytes between them.
    frames: Vec<Vec<u8>>,
    bytes: Vec<u8>,
    /// Bodies of the calls and replies among the bytes; the memory for them is held until they have been sent.
    bodies: Vec<Bytes>,
    /// Answers among the bytes.
    answers: Vec<OpenAnswer>,
}

impl SendBatch {
    fn is_empty(&self) -> bool {
        self.frames.is_empty() && self.bytes.is_empty()
    }

    fn push_frame(&mut self, frame: Vec<u8>) {
        if frame.len() < LARGE_FRAME_BYTES {
            self.bytes.extend_from_slice(&frame);
            return;
        }
        if !self.bytes.is_empty() {
            self.frames.push(std::mem::take(&mut self.bytes));
        }
        self.frames.push(frame);
    }

    fn clear(&mut self) {
        self.frames.clear();
        self.bytes.clear();
        self.bytes.shrink_to(RETAINED_CAPACITY_BYTES);
        self.bodies.clear();
        self.answers.clear();
    }

    async fn send(&mut self, writer: &mut (impl tokio::io::AsyncWrite + Unpin)) -> io::Result<()> {
        for frame in self.frames.drain(..) {
            writer.write_all(&frame).await?;
        }
        writer.write_all(&self.bytes).await
    }
}

#[derive(Default)]
struct SendQueue {
    pending: RefCell<PendingBytes>,
    changed: Notify,
}

/// The writing side of a connection. Bytes written while the same batch of events is processed are sent in one system
/// call. Without batching, a capnp-rpc message takes two or three system calls, and a frame takes one.
pub struct LinkWriter {
    queue: Rc<SendQueue>,
}

/// Splits a connection to another node into its reading and writing sides. Must be called within a `LocalSet`.
pub fn link_stream(stream: TcpStream) -> (LinkReader, LinkWriter) {
    let (reader, writer) = stream.into_split();
    (BufReader::with_capacity(READ_BUFFER_BYTES, reader.compat()), LinkWriter::new(writer))
}

/// Sends pending bytes until the writing side is closed or the connection fails.
async fn send_pending(mut writer: impl tokio::io::AsyncWrite + Unpin, queue: Rc<SendQueue>) {
    let mut batch = SendBatch::default();
    loop {
        if queue.pending.borrow().batch.is_empty() {
            if queue.pending.borrow().is_closed {
                return;
            }
            queue.changed.notified().await;
            // Lets other tasks that are ready now add their bytes first.
            yield_now().await;
        }
        queue.take_pending(&mut batch);
        if let Err(err) = batch.send(&mut writer).await {
            queue.fail(err.kind());
            return;
        }
        batch.clear();
    }
}

impl SendQueue {
    /// Moves what is pending into `batch`, which must be empty, and wakes a blocked write.
    fn take_pending(&self, batch: &mut SendBatch) {
        let mut pending = self.pending.borrow_mut();
        std::mem::swap(&mut pending.batch, batch);
        if let Some(waker) = pending.blocked_writer.take() {
            waker.wake();
        }
    }

    fn fail(&self, kind: io::ErrorKind) {
        let mut pending = self.pending.borrow_mut();
        pending.failure = Some(kind);
        pending.batch = SendBatch::default();
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
    /// Creates a writing side whose bytes a task of the current `LocalSet` sends to `writer`. Bytes written before it
    /// is dropped are still sent.
    pub fn new(writer: impl tokio::io::AsyncWrite + Unpin + 'static) -> Self {
        let queue = Rc::<SendQueue>::default();
        spawn_local(send_pending(writer, queue.clone()));
        Self { queue }
    }

    /// Queues `bytes` for sending, however many are pending. Does nothing if the connection has failed; its reading
    /// side ends then.
    pub fn send(&self, bytes: &[u8]) {
        let mut pending = self.queue.pending.borrow_mut();
        if pending.failure.is_none() {
            pending.batch.bytes.extend_from_slice(bytes);
            self.queue.changed.notify_one();
        }
    }

    /// Queues a frame for sending; the memory of the `body` in it is held until it has been sent.
    pub fn send_frame(&self, frame: Vec<u8>, body: Bytes) {
        let mut pending = self.queue.pending.borrow_mut();
        if pending.failure.is_none() {
            pending.batch.push_frame(frame);
            if !body.is_empty() {
                pending.batch.bodies.push(body);
            }
            self.queue.changed.notify_one();
        }
    }

    /// Returns whether so many bytes of small frames are pending that the other node does not seem to read.
    pub fn is_blocked(&self) -> bool {
        self.queue.pending.borrow().batch.bytes.len() >= MAX_PENDING_BYTES
    }

    /// Queues a frame like [`LinkWriter::send_frame`]; the answer `open` is dropped when it has been sent.
    pub fn send_answer(&self, frame: Vec<u8>, body: Bytes, open: OpenAnswer) {
        self.send_frame(frame, body);
        let mut pending = self.queue.pending.borrow_mut();
        if pending.failure.is_none() {
            pending.batch.answers.push(open);
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
        if pending.batch.bytes.len() >= MAX_PENDING_BYTES {
            pending.blocked_writer = Some(context.waker().clone());
            return Poll::Pending;
        }
        pending.batch.bytes.extend_from_slice(bytes);
        Poll::Ready(Ok(bytes.len()))
    }

    /// Starts sending the pending bytes without waiting until they are sent.
    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let pending = self.queue.pending.borrow();
        if let Some(kind) = pending.failure {
            return Poll::Ready(Err(kind.into()));
        }
        if !pending.batch.is_empty() {
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
