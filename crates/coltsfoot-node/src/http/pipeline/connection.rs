//! One connection: requests in, responses out in the same order.

use std::{future::Future, time::Duration};

use bytes::{Buf, BytesMut};
use futures_util::{StreamExt, stream::FuturesOrdered};
use http::{Method, Version, header::CONNECTION};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    task::spawn_local,
    time::{Instant, sleep, sleep_until, timeout, timeout_at},
};

use super::{
    ConnectionLimits, FramingError, WholeRequest, WholeResponse, request_buffer::RequestBuffer,
    response_bytes,
};
use crate::answers::{AnswerTracker, OpenAnswer};

/// Requests of one connection that are worked on at a time. Clients send two or three ahead.
const MAX_AHEAD: usize = 16;
/// Bytes read at a time at least. Each connection holds so much.
const READ_BYTES: usize = 4 * 1024;
/// Bytes of further requests that are held unread.
const MAX_UNREAD_BYTES: usize = 64 * 1024;
/// Room for the head of an answer.
const HEAD_ROOM: usize = 512;
/// How long a closed connection still takes in what its client sends.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// Time that a client has to take an answer even if its deadline has passed: the answer may say just that.
const MIN_WRITE_TIME: Duration = Duration::from_millis(500);
/// Pause after a failed accept: closing connections frees descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Leave to send a body that a client asks before.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// How the answer to one request goes out.
struct Reply {
    response: WholeResponse,
    method: Method,
    /// Whether the client or the handler asks to close the connection behind it.
    closes: bool,
    open: OpenAnswer,
}

/// Serves every connection of `listener` by `handle`, on the current thread. The future of a request is
/// dropped when its client closes the connection. An answer is open in `answers` until it has been written; `handle` may
/// tell it when the client gives up.
pub async fn accept_connections<H, R>(
    listener: TcpListener,
    limits: ConnectionLimits,
    answers: AnswerTracker,
    handle: H,
) where
    H: Fn(WholeRequest, &OpenAnswer) -> R + Clone + 'static,
    R: Future<Output = WholeResponse> + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Without it small answers wait for acknowledgements; a failure only costs time.
        let _ = stream.set_nodelay(true);
        spawn_local(serve(stream, limits, answers.clone(), handle.clone()));
    }
}

async fn serve<H, R>(
    mut stream: TcpStream,
    limits: ConnectionLimits,
    answers: AnswerTracker,
    handle: H,
) where
    H: Fn(WholeRequest, &OpenAnswer) -> R,
    R: Future<Output = WholeResponse>,
{
    let (reader, writer) = stream.split();
    let buffer = RequestBuffer::default();
    let connection = Connection { reader, writer, limits, answers, buffer, since: Instant::now() };
    connection.run(handle).await;
}

struct Connection<'a> {
    reader: ReadHalf<'a>,
    writer: WriteHalf<'a>,
    limits: ConnectionLimits,
    answers: AnswerTracker,
    buffer: RequestBuffer,
    /// When the present request began to come in; without one, when the last answer went out.
    since: Instant,
}

/// What happened next on a connection.
enum Step {
    /// The client sent something.
    Read,
    /// The client has gone.
    Gone,
    /// The next answer, in order.
    Answered(Box<Reply>),
    /// The client has taken too long.
    TimedOut,
}

impl Connection<'_> {
    async fn run<H, R>(mut self, handle: H)
    where
        H: Fn(WholeRequest, &OpenAnswer) -> R,
        R: Future<Output = WholeResponse>,
    {
        let mut pending = FuturesOrdered::new();
        // A request that is not safe is worked on alone: were it begun behind another, a close ahead of it
        // would have its client send it again.
        let mut held = None;
        let mut runs_alone = false;
        loop {
            while pending.is_empty() || !runs_alone && held.is_none() && pending.len() < MAX_AHEAD {
                let request =
                    match held.take().map_or_else(|| self.next_request(), |held| Ok(Some(held))) {
                        Ok(Some(request)) => request,
                        Ok(None) => break,
                        Err(err) => return self.fail(pending, err).await,
                    };
                let is_alone = !request.method().is_safe();
                if is_alone && !pending.is_empty() {
                    held = Some(request);
                    break;
                }
                runs_alone = is_alone;
                let (method, closes) = (request.method().clone(), asks_to_close(&request));
                let open = self.answers.begin();
                pending.push_back(reply(handle(request, &open), method, closes, open));
            }
            match self.step(&mut pending).await {
                Step::Read => {}
                Step::Gone => return,
                Step::Answered(reply) => {
                    // A request that is held has not been begun: behind a close its client sends it again.
                    if !self.answer(reply, pending.is_empty()).await {
                        return;
                    }
                }
                Step::TimedOut if self.buffer.has_begun() => {
                    return self.fail(pending, FramingError::TimedOut).await;
                }
                Step::TimedOut => return,
            }
        }
    }

    fn next_request(&mut self) -> Result<Option<WholeRequest>, FramingError> {
        self.buffer.next(&self.limits)
    }

    async fn step<F>(&mut self, pending: &mut FuturesOrdered<F>) -> Step
    where
        F: Future<Output = Box<Reply>>,
    {
        let is_idle = pending.is_empty();
        if is_idle
            && self.buffer.expects_continue()
            && self.writer.write_all(CONTINUE).await.is_err()
        {
            return Step::Gone;
        }
        let was_empty = !self.buffer.has_begun();
        let most = if was_empty { self.limits.idle_time } else { self.limits.request_time };
        let can_read = self.buffer.bytes.len() < MAX_UNREAD_BYTES;
        self.buffer.bytes.reserve(READ_BYTES);
        tokio::select! {
            Some(reply) = pending.next(), if !is_idle => Step::Answered(reply),
            read = self.reader.read_buf(&mut self.buffer.bytes), if can_read => match read {
                Ok(0) | Err(_) => Step::Gone,
                Ok(_) => {
                    if was_empty {
                        self.since = Instant::now();
                    }
                    Step::Read
                }
            },
            () = sleep_until(self.since + most), if is_idle => Step::TimedOut,
        }
    }

    /// Writes an answer; returns whether the connection goes on. A close waits for the last of the requests
    /// that have been begun.
    async fn answer(&mut self, reply: Box<Reply>, is_last: bool) -> bool {
        let Reply { response, method, closes, open } = *reply;
        let closes = closes && is_last;
        let mut bytes = BytesMut::with_capacity(HEAD_ROOM + response.body().len());
        response_bytes::write(&response, &method, closes, &mut bytes);
        drop(response);
        if !self.write(bytes, &open).await {
            return false;
        }
        self.since = Instant::now();
        if closes {
            // The connection is reset if the process ends with unread bytes on it.
            open.wait_for(LINGER_TIME);
            self.shut_down().await;
        }
        !closes
    }

    /// Writes the bytes of an answer; returns whether the client has taken them. It gives up when the client has by its
    /// own deadline, or takes nothing for as long as an idle connection is kept: what is held for it takes memory.
    async fn write(&mut self, mut bytes: BytesMut, open: &OpenAnswer) -> bool {
        let earliest = Instant::now() + MIN_WRITE_TIME;
        let deadline = open.deadline().map(|deadline| earliest.max(deadline.into()));
        while bytes.has_remaining() {
            let stalled = Instant::now() + self.limits.idle_time;
            if deadline.is_none() {
                open.wait_for(self.limits.idle_time);
            }
            let until = deadline.map_or(stalled, |deadline| deadline.min(stalled));
            match timeout_at(until, self.writer.write_buf(&mut bytes)).await {
                Ok(Ok(written)) if written > 0 => {}
                _ => return false,
            }
        }
        true
    }

    /// Answers what was read before, then says why the rest is no request, and closes.
    async fn fail<F>(&mut self, mut pending: FuturesOrdered<F>, err: FramingError)
    where
        F: Future<Output = Box<Reply>>,
    {
        while let Some(reply) = pending.next().await {
            if !self.answer(reply, false).await {
                return;
            }
        }
        let mut response = WholeResponse::default();
        *response.status_mut() = err.status();
        let open = self.answers.begin();
        let reply = Reply { response, method: Method::GET, closes: true, open };
        self.answer(Box::new(reply), true).await;
    }

    /// Ends the sending side, and drops what the client still sends for a moment: a close with unread bytes
    /// would reset the connection and might take the answer with it.
    async fn shut_down(&mut self) {
        if self.writer.shutdown().await.is_err() {
            return;
        }
        let drain = async {
            let mut rest = BytesMut::with_capacity(READ_BYTES);
            while matches!(self.reader.read_buf(&mut rest).await, Ok(length) if length > 0) {
                rest.clear();
            }
        };
        // Past the time the client has had its answer, or never will.
        let _ = timeout(LINGER_TIME, drain).await;
    }
}

async fn reply(
    response: impl Future<Output = WholeResponse>,
    method: Method,
    closes: bool,
    open: OpenAnswer,
) -> Box<Reply> {
    let response = response.await;
    let is_asked = response.headers().get(CONNECTION).is_some_and(|value| value == "close");
    Box::new(Reply { response, method, closes: closes || is_asked, open })
}

fn asks_to_close(request: &WholeRequest) -> bool {
    let asks = |word: &str| {
        let values = request.headers().get_all(CONNECTION).iter();
        let mut words =
            values.filter_map(|value| value.to_str().ok()).flat_map(|value| value.split(','));
        words.any(|held| held.trim().eq_ignore_ascii_case(word))
    };
    match request.version() {
        Version::HTTP_10 => !asks("keep-alive"),
        _ => asks("close"),
    }
}
