//! One connection: requests in, responses out in the same order.

use std::{future::Future, time::Duration};

use bytes::{Buf, BytesMut};
use coltsfootroute::{admission::RetryAfter, memory::SMALL_HOLD_BYTES};
use futures_util::{StreamExt, stream::FuturesOrdered};
use http::{Method, Version, header::CONNECTION};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    task::spawn_local,
    time::{Instant, sleep, sleep_until, timeout},
};

use super::{
    ConnectionLimits, ConnectionSlot, FramingError, ListenerResources, WholeRequest, WholeResponse,
    request_buffer::{ReadRequest, RequestBuffer},
    response_bytes, set_retry_after,
};
use crate::{answers::OpenAnswer, memory::MemoryHold};

/// Requests of one connection that are worked on at a time. Clients send two or three ahead.
const MAX_AHEAD: usize = 16;
/// Bytes read at a time at least. Each connection holds so much.
const READ_BYTES: usize = 4 * 1024;
/// The same while a large body comes in.
const LARGE_READ_BYTES: usize = 16 * 1024;
/// Bytes of a body that have to come in for each second beyond the usual time of a request.
const LARGE_BODY_PACE: usize = 1024 * 1024;
/// Bytes of further requests that are held unread.
const MAX_UNREAD_BYTES: usize = 64 * 1024;
/// How long a closed connection still takes in what its client sends.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// Time that a client has to take an answer even if its deadline has passed: the answer may say just that.
const MIN_WRITE_TIME: Duration = Duration::from_millis(500);
/// Time without a byte after which a client that holds much is given up while memory is scarce.
const SCARCE_PATIENCE: Duration = Duration::from_secs(1);
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
    /// Memory held for the request and a short answer.
    hold: MemoryHold,
}

/// Serves every connection of `listener` by `handle`, on the current thread. The future of a request is
/// dropped when its client closes the connection. An answer is open until it has been written; `handle` may tell it when the
/// client gives up.
pub async fn accept_connections<H, R>(
    listener: TcpListener,
    limits: ConnectionLimits,
    resources: ListenerResources,
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
        let slot = resources.connections.acquire(&resources.memory).await;
        // Without it small answers wait for acknowledgements; a failure only costs time.
        let _ = stream.set_nodelay(true);
        spawn_local(serve(stream, slot, limits, resources.clone(), handle.clone()));
    }
}

async fn serve<H, R>(
    mut stream: TcpStream,
    _slot: ConnectionSlot,
    limits: ConnectionLimits,
    resources: ListenerResources,
    handle: H,
) where
    H: Fn(WholeRequest, &OpenAnswer) -> R,
    R: Future<Output = WholeResponse>,
{
    let (reader, writer) = stream.split();
    let buffer = RequestBuffer::new(resources.memory.clone());
    let now = Instant::now();
    let connection =
        Connection { reader, writer, limits, resources, buffer, since: now, progressed: now };
    connection.run(handle).await;
}

struct Connection<'a> {
    reader: ReadHalf<'a>,
    writer: WriteHalf<'a>,
    limits: ConnectionLimits,
    resources: ListenerResources,
    buffer: RequestBuffer,
    /// When the present request began to come in; without one, when the last answer went out.
    since: Instant,
    /// When something last came in.
    progressed: Instant,
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
    /// The client may be given less time than before.
    Hurried,
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
                let read =
                    match held.take().map_or_else(|| self.next_request(), |held| Ok(Some(held))) {
                        Ok(Some(read)) => read,
                        Ok(None) => break,
                        Err(err) => return Box::pin(self.fail(pending, err)).await,
                    };
                let is_alone = !read.request.method().is_safe();
                if is_alone && !pending.is_empty() {
                    held = Some(read);
                    break;
                }
                runs_alone = is_alone;
                pending.push_back(self.begin(read, &handle));
            }
            if let Err(err) = self.buffer.hold_unparsed() {
                return Box::pin(self.fail(pending, err)).await;
            }
            match self.step(&mut pending).await {
                Step::Read | Step::Hurried => {}
                Step::Gone => return,
                Step::Answered(reply) => {
                    // A request that is held has not been begun: behind a close its client sends it again.
                    // Boxed, as is a failure, to keep small what an idle connection takes.
                    if !Box::pin(self.answer(reply, pending.is_empty())).await {
                        return;
                    }
                }
                Step::TimedOut if self.buffer.has_begun() => {
                    return Box::pin(self.fail(pending, FramingError::TimedOut)).await;
                }
                Step::TimedOut => return,
            }
        }
    }

    fn next_request(&mut self) -> Result<Option<ReadRequest>, FramingError> {
        if let Some(limit) = &self.resources.body_limit {
            self.limits.body_bytes = limit.get();
        }
        self.buffer.next(&self.limits)
    }

    /// Begins the work on a request.
    fn begin<H, R>(
        &self,
        ReadRequest { request, hold }: ReadRequest,
        handle: &H,
    ) -> impl Future<Output = Box<Reply>> + use<H, R>
    where
        H: Fn(WholeRequest, &OpenAnswer) -> R,
        R: Future<Output = WholeResponse>,
    {
        let (method, closes) = (request.method().clone(), asks_to_close(&request));
        let open = self.resources.answers.begin();
        reply(handle(request, &open), method, closes, open, hold)
    }

    /// When to give up on a client from which nothing comes while no request of its is worked on.
    fn gives_up_at(&self) -> Instant {
        let (usual, hurried) = match self.buffer.has_begun() {
            true => (self.request_until(), self.progressed + SCARCE_PATIENCE),
            false => (self.since + self.limits.idle_time, self.since + SCARCE_PATIENCE),
        };
        match self.is_hurried(self.buffer.holds_much()) {
            true => usual.min(hurried),
            false => usual,
        }
    }

    /// Until when the request that has begun must have come in: large ones have longer, as long as they come in.
    fn request_until(&self) -> Instant {
        let seconds = self.buffer.body_bytes() / LARGE_BODY_PACE;
        self.since + self.limits.request_time + Duration::from_secs(seconds as u64)
    }

    /// Whether others wait for what the connection has without using it.
    fn is_hurried(&self, holds_much: bool) -> bool {
        let ListenerResources { memory, connections, .. } = &self.resources;
        connections.is_scarce() || holds_much && memory.is_scarce()
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
        let can_read = self.buffer.bytes.len() < MAX_UNREAD_BYTES;
        self.buffer.reserve(if self.buffer.reads_large_body() {
            LARGE_READ_BYTES
        } else {
            READ_BYTES
        });
        let scarce_memory = self.resources.memory.scarce();
        let scarce_slots = self.resources.connections.scarce();
        let until = self.gives_up_at();
        tokio::select! {
            Some(reply) = pending.next(), if !is_idle => Step::Answered(reply),
            read = self.reader.read_buf(&mut self.buffer.bytes), if can_read => match read {
                Ok(0) | Err(_) => Step::Gone,
                Ok(_) => {
                    self.progressed = Instant::now();
                    if was_empty {
                        self.since = self.progressed;
                    }
                    Step::Read
                }
            },
            () = scarce_memory, if is_idle && !was_empty => Step::Hurried,
            () = scarce_slots, if is_idle => Step::Hurried,
            () = sleep_until(until), if is_idle => match Instant::now() >= self.gives_up_at() {
                true => Step::TimedOut,
                false => Step::Hurried,
            },
        }
    }

    /// Writes an answer; returns whether the connection goes on. A close waits for the last of the requests
    /// that have been begun.
    async fn answer(&mut self, reply: Box<Reply>, is_last: bool) -> bool {
        let Reply { response, method, closes, open, hold: _hold } = *reply;
        let closes = closes && is_last;
        if !self.write(response_bytes::of(response, &method, closes), &open).await {
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
    async fn write(&mut self, mut bytes: impl Buf, open: &OpenAnswer) -> bool {
        let earliest = Instant::now() + MIN_WRITE_TIME;
        let deadline = open.deadline().map(|deadline| earliest.max(deadline.into()));
        while bytes.has_remaining() {
            let stalled = Instant::now() + self.limits.idle_time;
            if deadline.is_none() {
                open.wait_for(self.limits.idle_time);
            }
            let until = deadline.map_or(stalled, |deadline| deadline.min(stalled));
            if !self.write_some(&mut bytes, until).await {
                return false;
            }
        }
        true
    }

    /// Writes some of the bytes of an answer; returns whether the client has taken any by `until`, or in a short time while
    /// others wait for what the connection has.
    async fn write_some(&mut self, bytes: &mut impl Buf, until: Instant) -> bool {
        let mut hurried_until = None;
        let holds_much = bytes.remaining() > SMALL_HOLD_BYTES;
        loop {
            let scarce_memory = self.resources.memory.scarce();
            let scarce_slots = self.resources.connections.scarce();
            if self.is_hurried(holds_much) && hurried_until.is_none() {
                hurried_until = Some(Instant::now() + SCARCE_PATIENCE);
            }
            let until = hurried_until.map_or(until, |hurried| until.min(hurried));
            tokio::select! {
                written = self.writer.write_buf(bytes) => {
                    return matches!(written, Ok(length) if length > 0);
                }
                () = scarce_memory, if holds_much => {}
                () = scarce_slots => {}
                () = sleep_until(until) => return false,
            }
        }
    }

    /// Answers what was read before, then says why the rest is no request, and closes.
    async fn fail<F>(&mut self, mut pending: FuturesOrdered<F>, err: FramingError)
    where
        F: Future<Output = Box<Reply>>,
    {
        self.buffer = RequestBuffer::new(self.resources.memory.clone());
        while let Some(reply) = pending.next().await {
            if !self.answer(reply, false).await {
                return;
            }
        }
        let mut response = WholeResponse::default();
        *response.status_mut() = err.status();
        if err == FramingError::NoMemory {
            set_retry_after(&mut response, RetryAfter::draw_for_absence(&mut rand::rng()).0);
        }
        let open = self.resources.answers.begin();
        let hold = self.resources.memory.hold();
        let reply = Reply { response, method: Method::GET, closes: true, open, hold };
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
    hold: MemoryHold,
) -> Box<Reply> {
    let response = response.await;
    let is_asked = response.headers().get(CONNECTION).is_some_and(|value| value == "close");
    Box::new(Reply { response, method, closes: closes || is_asked, open, hold })
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
