//! Body of an answer on a listener of `xitca-web`.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use xitca_web::{
    body::{Body, Frame, SizeHint},
    error::BodyError,
};

use super::OpenAnswer;

/// Body of an answer on a listener of `xitca-web`, which keeps the answer open until its last byte has been written.
///
/// The server writes what it has buffered before it polls a body again that was pending. So the body is pending once
/// behind its bytes, and ends only when they have been handed over.
pub struct TrackedBody {
    bytes: Option<Bytes>,
    /// Whether the server has been asked to write its buffer.
    is_flushed: bool,
    /// The answer; dropped with the body.
    _open: OpenAnswer,
}

impl TrackedBody {
    /// Creates the body of the answer `open`.
    pub fn new(bytes: Bytes, open: OpenAnswer) -> Self {
        Self {
            bytes: Some(bytes).filter(|bytes| !bytes.is_empty()),
            is_flushed: false,
            _open: open,
        }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(bytes) = self.bytes.take() {
            return Poll::Ready(Some(Ok(Frame::Data(bytes))));
        }
        if !self.is_flushed {
            self.is_flushed = true;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(None)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::Exact(self.bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
    }
}
