//! A call with a large body, on a connection of its own.
//!
//! Both nodes hold the body, each once; the link for other calls carries none of it. It is sent once the other node has said
//! that it has memory for it. Until its last piece is sent the call has not run.

use std::cell::Cell;

use bytes::Bytes;
use coltsfoot_wire::peer::{CallReply, CallRequest};
use futures_util::io::BufReader;
use tokio::{
    io::AsyncWriteExt as _,
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
};
use tokio_util::compat::{Compat, TokioAsyncReadCompatExt as _};

use super::{
    LinkError,
    call_frame::{CallFrame, LARGE_CALL_PREFACE, encode_call, read_frame},
    call_link::unheld_reply,
};
use crate::memory::MemoryPool;

/// Number of the only call on its connection.
const CALL_NUMBER: u32 = 0;
/// Size of the pieces of a body, in bytes.
pub(super) const PIECE_BYTES: usize = 64 * 1024;

/// A connection for one call with a large body. The call ends at the other node when it is dropped.
pub(super) struct LargeCall {
    reader: BufReader<Compat<OwnedReadHalf>>,
    writer: OwnedWriteHalf,
}

impl LargeCall {
    /// Uses a newly opened connection.
    pub(super) fn new(stream: TcpStream) -> Self {
        let (reader, writer) = stream.into_split();
        Self { reader: BufReader::new(reader.compat()), writer }
    }

    /// Sends `call` and waits for its reply, which is held in `memory`; sets `is_sent` as soon as the call may run.
    ///
    /// # Errors
    ///
    /// [`LinkError::Unreachable`] if the connection ends before the whole body is sent; [`LinkError::Ended`] if it ends
    /// later, in which case the call may have run.
    pub(super) async fn call(
        mut self,
        call: CallRequest,
        memory: &MemoryPool,
        is_sent: &Cell<bool>,
    ) -> Result<CallReply, LinkError> {
        let body = call.body.clone();
        self.send_head(CallRequest { body: Bytes::new(), ..call }, body.len()).await?;
        match read_frame(&mut self.reader, memory).await {
            Ok(Some(CallFrame::Accept(CALL_NUMBER))) => {}
            Ok(Some(CallFrame::Reply(CALL_NUMBER, refusal))) => return Ok(*refusal),
            _ => return Err(LinkError::Unreachable),
        }
        self.send_body(&body, is_sent).await?;
        match read_frame(&mut self.reader, memory).await {
            Ok(Some(CallFrame::Reply(CALL_NUMBER, reply))) => Ok(*reply),
            Ok(Some(CallFrame::UnheldReply(CALL_NUMBER))) => Ok(unheld_reply()),
            _ => Err(LinkError::Ended),
        }
    }

    async fn send_head(&mut self, head: CallRequest, body_bytes: usize) -> Result<(), LinkError> {
        let length = (body_bytes as u64).to_le_bytes();
        let bytes = [&LARGE_CALL_PREFACE[..], &length, &encode_call(CALL_NUMBER, &head)].concat();
        self.writer.write_all(&bytes).await.map_err(|_| LinkError::Unreachable)
    }

    async fn send_body(&mut self, body: &[u8], is_sent: &Cell<bool>) -> Result<(), LinkError> {
        let (first, last) = body.split_at(body.len().saturating_sub(PIECE_BYTES));
        self.writer.write_all(first).await.map_err(|_| LinkError::Unreachable)?;
        is_sent.set(true);
        self.writer.write_all(last).await.map_err(|_| LinkError::Ended)
    }
}
