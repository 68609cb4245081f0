//! Body of an answer, which may be cut off.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// A body of known length that is sent whole or breaks off.
#[derive(Debug)]
pub(super) struct AnswerBody {
    data: Option<Bytes>,
    /// Length that the head announces.
    length: u64,
    /// Whether the connection breaks after `data`.
    cut: bool,
    /// Whether the server has had the chance to send `data` before the break.
    flushed: bool,
}

impl AnswerBody {
    /// All of `data`.
    pub(super) fn whole(data: Bytes) -> Self {
        Self { length: data.len() as u64, data: Some(data), cut: false, flushed: false }
    }

    /// The first half of `data`, then the connection breaks.
    pub(super) fn cut(data: Bytes) -> Self {
        let half = data.slice(..data.len() / 2);
        Self { length: data.len() as u64, data: Some(half), cut: true, flushed: false }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(data) = self.data.take() {
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        if self.cut && !self.flushed {
            self.flushed = true;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        if self.cut {
            return Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into())));
        }
        Poll::Ready(None)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length)
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_none() && !self.cut
    }
}
