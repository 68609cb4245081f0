//! Connection to a server that bounds what the server can make the node read.

use std::{
    future::Future,
    io,
    pin::{Pin, pin},
    task::{Context, Poll},
};

use hyper_util::client::legacy::connect::{Connected, Connection};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    task::yield_now,
};

/// Bytes that are read in a row before other tasks of the thread run. A parser that finds neither an end nor an error
/// reads on for as long as bytes come.
const TURN_BYTES: usize = 16 * 1024;

/// Connection to a server, which lets other tasks run while bytes come without pause, and fails when an answer becomes too
/// long.
pub(super) struct BoundedStream {
    stream: TcpStream,
    /// Bytes read since other tasks last had a chance to run.
    turn_bytes: usize,
    /// Bytes read since the last write, which belongs to the current request.
    answer_bytes: usize,
    /// Maximum of `answer_bytes`.
    limit: usize,
}

impl BoundedStream {
    /// Wraps `stream`; answers of more than `limit` bytes fail, head and framing included.
    pub(super) fn new(stream: TcpStream, limit: usize) -> Self {
        Self { stream, turn_bytes: 0, answer_bytes: 0, limit }
    }

    /// Returns whether it is other tasks' turn; if so, arranges that the task is polled again after them.
    fn yields(&mut self, cx: &mut Context<'_>) -> bool {
        if self.turn_bytes < TURN_BYTES {
            return false;
        }
        self.turn_bytes = 0;
        pin!(yield_now()).poll(cx).is_pending()
    }

    fn count(&mut self, bytes: usize) -> io::Result<()> {
        self.turn_bytes += bytes;
        self.answer_bytes += bytes;
        if self.answer_bytes > self.limit {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "the answer is too long"));
        }
        Ok(())
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.yields(cx) {
            return Poll::Pending;
        }
        let before = buf.filled().len();
        match Pin::new(&mut self.stream).poll_read(cx, buf) {
            Poll::Ready(Ok(())) => Poll::Ready(self.count(buf.filled().len() - before)),
            Poll::Ready(Err(err)) => Poll::Ready(Err(err)),
            Poll::Pending => {
                self.turn_bytes = 0;
                Poll::Pending
            }
        }
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.answer_bytes = 0;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.answer_bytes = 0;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

impl Connection for BoundedStream {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}
