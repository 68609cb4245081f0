//! Tests of connections between nodes: the byte stream, and the calls on it.

use std::{
    cell::{Cell, RefCell},
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use coltsfoot_node::memory::MemoryPool;
use coltsfoot_node::{
    answers::AnswerTracker,
    clock::MonotonicClock,
    dispatch::links::{CallHandler, CallLink, LinkError, LinkWriter, link_stream, serve_calls},
};
use coltsfoot_wire::peer::{CallReply, CallRequest, ReplyBody};
use coltsfootroute::{
    event::HybridStamp,
    outcome::{CallOutcome, RefusalReason},
};
use futures_util::{AsyncReadExt as _, AsyncWriteExt as _};
use rstest::rstest;
use tokio::{
    io::AsyncWrite,
    net::{TcpListener, TcpStream},
    runtime,
    sync::Notify,
    task::{JoinHandle, LocalSet, spawn_local, yield_now},
};

use crate::util::fake_peer::stock_call;

/// Bytes written to the connection, one entry per system call.
type Writes = Rc<RefCell<Vec<Vec<u8>>>>;

/// Writer that records or fails all writes in place of a connection.
struct FakeSocket {
    writes: Writes,
    fails: bool,
}

impl AsyncWrite for FakeSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.fails {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        self.writes.borrow_mut().push(bytes.to_vec());
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

fn socket(fails: bool) -> (FakeSocket, Writes) {
    let writes = Writes::default();
    (FakeSocket { writes: writes.clone(), fails }, writes)
}

fn run_local(test: impl Future<Output = ()>) {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// Yields often enough for all other ready tasks to run.
async fn settle() {
    for _ in 0..8 {
        yield_now().await;
    }
}

/// The load: some hundred calls per second to each of many nodes with three messages per call, each written as its
/// length and its content. While one batch of events is processed, a link gets the messages of several calls.
#[rstest]
fn messages_written_together_share_a_system_call() {
    run_local(async {
        let (socket, writes) = socket(false);
        let mut writer = LinkWriter::new(socket);

        for number in 0..10_u8 {
            writer.write_all(&[1]).await.unwrap();
            writer.write_all(&[number]).await.unwrap();
            writer.flush().await.unwrap();
        }
        settle().await;

        let expected: Vec<u8> = (0..10).flat_map(|number| [1, number]).collect();
        assert_eq!(*writes.borrow(), [expected]);
    });
}

#[rstest]
fn a_message_written_later_is_sent_separately() {
    run_local(async {
        let (socket, writes) = socket(false);
        let mut writer = LinkWriter::new(socket);

        for number in 0..3_u8 {
            writer.write_all(&[number]).await.unwrap();
            writer.flush().await.unwrap();
            settle().await;
        }

        assert_eq!(*writes.borrow(), [[0], [1], [2]]);
    });
}

#[rstest]
fn bytes_written_before_the_close_are_still_sent() {
    run_local(async {
        let (socket, writes) = socket(false);
        let mut writer = LinkWriter::new(socket);

        writer.write_all(b"last").await.unwrap();
        drop(writer);
        settle().await;

        assert_eq!(*writes.borrow(), [b"last".to_vec()]);
    });
}

#[rstest]
fn a_connection_that_fails_fails_the_next_message() {
    run_local(async {
        let (socket, _) = socket(true);
        let mut writer = LinkWriter::new(socket);

        writer.write_all(b"lost").await.unwrap();
        writer.flush().await.unwrap();
        settle().await;
        let next = writer.write_all(b"next").await;

        assert_eq!(next.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
    });
}

/// A peer that reads nothing must not make this node buffer all messages to it.
#[rstest]
fn a_peer_that_reads_nothing_blocks_writes() {
    run_local(async {
        let (mut writer, _peer) = {
            let (near, far) = tokio::io::duplex(1);
            (LinkWriter::new(near), far)
        };
        let message = vec![0; 1024 * 1024];

        let mut taken = 0;
        while taken < 64 {
            let sending = writer.write_all(&message);
            let Ok(sent) = tokio::time::timeout(std::time::Duration::ZERO, sending).await else {
                break;
            };
            sent.unwrap();
            taken += 1;
        }

        assert!((1..=8).contains(&taken), "held back after {taken} messages of 1 MiB");
    });
}

/// Answers calls whose body is `wait` only when notified, and counts cancelled calls.
#[derive(Default)]
struct FakeGuard {
    begun: Notify,
    resume: Notify,
    cancelled: Rc<Cell<u32>>,
    answers: AnswerTracker,
    memory: MemoryPool,
    call_cancelled: Rc<Notify>,
}

/// Counts a call as cancelled unless it was answered.
struct Unanswered<'a>(&'a FakeGuard, bool);

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        if !self.1 {
            self.0.cancelled.set(self.0.cancelled.get() + 1);
            self.0.call_cancelled.notify_one();
        }
    }
}

impl CallHandler for FakeGuard {
    fn answers(&self) -> &AnswerTracker {
        &self.answers
    }

    fn memory(&self) -> &MemoryPool {
        &self.memory
    }

    fn refuse_unheld(&self) -> CallReply {
        CallReply::refusal(RefusalReason::Overload, CallOutcome::NotRun, Duration::ZERO)
    }

    async fn call(self: Rc<Self>, call: CallRequest) -> CallReply {
        let mut unanswered = Unanswered(&self, false);
        if &call.body[..] == b"wait" {
            self.begun.notify_one();
            self.resume.notified().await;
        }
        unanswered.1 = true;
        let reason = RefusalReason::Overload;
        let mut reply = CallReply::refusal(reason, CallOutcome::NotRun, Duration::ZERO);
        reply.body = ReplyBody::Answer {
            status: 200,
            content_type: String::new(),
            headers: Vec::new(),
            body: call.body,
            replayed: false,
        };
        reply
    }
}

fn call(body: &[u8]) -> CallRequest {
    CallRequest { body: Bytes::copy_from_slice(body), ..stock_call(HybridStamp::default()) }
}

fn body(reply: CallReply) -> Vec<u8> {
    match reply.body {
        ReplyBody::Answer { body, .. } => body.to_vec(),
        ReplyBody::Refusal { reason, .. } => panic!("refused: {reason:?}"),
    }
}

/// A link to a fake guard, the guard, and the task that serves the link.
async fn linked() -> (CallLink, Rc<FakeGuard>, JoinHandle<()>) {
    linked_with(MemoryPool::default(), MemoryPool::default()).await
}

/// The same with the memory of the caller's process and of the guard's.
async fn linked_with(
    caller_memory: MemoryPool,
    guard_memory: MemoryPool,
) -> (CallLink, Rc<FakeGuard>, JoinHandle<()>) {
    let (near, far) = connection().await;
    let guard = Rc::new(FakeGuard { memory: guard_memory, ..FakeGuard::default() });
    let (mut reader, writer) = link_stream(far);
    // The preface of a call connection.
    let served = guard.clone();
    let serving = spawn_local(async move {
        reader.read_exact(&mut [0; 8]).await.unwrap();
        serve_calls(reader, writer, served).await;
    });
    (CallLink::open(near, caller_memory, ()), guard, serving)
}

async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    (near, listener.accept().await.unwrap().0)
}

#[rstest]
fn each_call_gets_its_own_reply_whatever_their_order() {
    run_local(async {
        let (link, guard, _serving) = linked().await;
        let held = call(b"wait");

        let slow = link.call(&held);
        let quick = async {
            guard.begun.notified().await;
            let first = body(link.call(&call(b"first")).await.unwrap());
            let second = body(link.call(&call(b"second")).await.unwrap());
            guard.resume.notify_one();
            (first, second)
        };
        let (slow, (first, second)) = tokio::join!(slow, quick);

        assert_eq!(
            (body(slow.unwrap()), first, second),
            (b"wait".to_vec(), b"first".to_vec(), b"second".to_vec())
        );
    });
}

/// A call that continued after its caller has cancelled it would occupy a slot that a waiting call needs.
#[rstest]
fn a_cancelled_call_ends_at_the_other_node() {
    run_local(async {
        let (link, guard, _serving) = linked().await;
        let held = call(b"wait");

        tokio::select! {
            _ = link.call(&held) => panic!("answered"),
            () = guard.begun.notified() => {}
        }
        guard.call_cancelled.notified().await;
        let next = body(link.call(&call(b"next")).await.unwrap());

        assert_eq!((guard.cancelled.get(), next), (1, b"next".to_vec()));
    });
}

#[rstest]
fn calls_in_flight_fail_with_their_connection_and_so_do_later_ones() {
    run_local(async {
        let (link, guard, serving) = linked().await;
        let held = call(b"wait");

        let waiting = link.call(&held);
        let cut = async {
            guard.begun.notified().await;
            serving.abort();
        };
        let (waiting, ()) = tokio::join!(waiting, cut);
        let later = link.call(&call(b"later")).await;

        assert_eq!(waiting.unwrap_err(), LinkError::Ended, "it may have run");
        assert_eq!(later.unwrap_err(), LinkError::Unreachable, "it was not sent");
        assert_eq!(guard.cancelled.get(), 1);
    });
}

#[rstest]
fn a_connection_that_its_caller_closes_cancels_its_calls() {
    run_local(async {
        let (link, guard, serving) = linked().await;
        let held = call(b"wait");

        tokio::select! {
            _ = link.call(&held) => panic!("answered"),
            () = guard.begun.notified() => {}
        }
        drop(link);
        serving.await.unwrap();

        assert_eq!(guard.cancelled.get(), 1);
    });
}

/// Guards against a planned stop that loses answers which wait in this process for a slow peer.
#[rstest]
fn an_answer_is_open_until_its_peer_has_taken_it() {
    run_local(async {
        let (near, mut far) = tokio::io::duplex(1);
        let (writer, answers) = (LinkWriter::new(near), AnswerTracker::default());

        writer.send_answer(b"answer".to_vec(), Bytes::new(), answers.begin());
        settle().await;
        let before = answers.waiting();
        tokio::io::AsyncReadExt::read_exact(&mut far, &mut [0; 6]).await.unwrap();
        settle().await;

        assert_eq!((before, answers.waiting()), (1, 0));
    });
}

/// Guards against a planned stop that does not wait for calls of other nodes, and one that waits for cancelled ones.
#[rstest]
#[case::answered(true)]
#[case::cancelled(false)]
fn the_answer_to_a_call_is_open_while_it_runs(#[case] is_answered: bool) {
    run_local(async {
        let (link, guard, serving) = linked().await;
        let held = call(b"wait");
        let mut calling = Box::pin(link.call(&held));

        tokio::select! {
            _ = &mut calling => panic!("answered"),
            () = guard.begun.notified() => {}
        }
        let before = guard.answers.waiting();
        if is_answered {
            guard.resume.notify_one();
            (&mut calling).await.unwrap();
        }
        drop(calling);
        drop(link);
        serving.await.unwrap();

        assert_eq!((before, guard.answers.waiting()), (1, 0));
    });
}

#[rstest]
#[case::of_no_kind([0, 0, 0, 0, 0, 0, 0, 0])]
#[case::a_reply_to_a_guard([2, 1, 0, 0, 8, 0, 0, 0])]
#[case::a_call_that_is_no_message([1, 1, 0, 0, 8, 0, 0, 0])]
#[case::a_call_that_is_too_long([1, 1, 0, 0, 0xff, 0xff, 0xff, 0xff])]
fn a_connection_with_a_malformed_frame_is_closed(#[case] head: [u8; 8]) {
    run_local(async {
        let (mut near, far) = connection().await;
        let (reader, writer) = link_stream(far);
        let serving = spawn_local(serve_calls(reader, writer, Rc::<FakeGuard>::default()));

        tokio::io::AsyncWriteExt::write_all(&mut near, &head).await.unwrap();
        // A segment count that is too large for a message.
        tokio::io::AsyncWriteExt::write_all(&mut near, &[0xff; 8]).await.unwrap();
        serving.await.unwrap();

        // Part of the sent data is unread, so the close is a reset.
        let end = tokio::io::AsyncReadExt::read(&mut near, &mut [0; 8]).await;
        assert!(matches!(end, Ok(0) | Err(_)));
    });
}

/// Memory that holds a body of 100 kB twice, but no two of them.
fn small_memory() -> MemoryPool {
    MemoryPool::new(2_800_000, MonotonicClock::new())
}

/// Guards against calls that a guard holds beyond its memory; zeros take no room on the way.
#[rstest]
#[case::text(b'x')]
#[case::zeros(0)]
fn a_call_that_a_guard_has_no_memory_for_has_not_run(#[case] byte: u8) {
    run_local(async {
        let (link, guard, _serving) = linked_with(MemoryPool::default(), small_memory()).await;
        let large = call(&[byte; 100_000]);
        let mut hold = guard.memory.hold();
        hold.raise_to(200_000).unwrap();

        let refused = link.call(&large).await.unwrap();
        let small = body(link.call(&call(b"small")).await.unwrap());
        drop(hold);
        let served = body(link.call(&large).await.unwrap());

        let refusal = (refused.outcome, refused.reason());
        assert_eq!(refusal, (CallOutcome::NotRun, Some(RefusalReason::Overload)));
        assert_eq!((small, served), (b"small".to_vec(), vec![byte; 100_000]));
        assert_eq!(guard.memory.usage().held, 0);
    });
}

/// Guards against replies that a caller's node holds beyond its memory.
#[rstest]
#[case::text(b'x')]
#[case::zeros(0)]
fn a_reply_that_there_is_no_memory_for_may_have_run(#[case] byte: u8) {
    run_local(async {
        let memory = small_memory();
        let (link, _guard, _serving) = linked_with(memory.clone(), MemoryPool::default()).await;
        let large = call(&[byte; 100_000]);
        let mut hold = memory.hold();
        hold.raise_to(200_000).unwrap();

        let lost = link.call(&large).await.unwrap();
        let small = body(link.call(&call(b"small")).await.unwrap());
        drop(hold);
        let served = link.call(&large).await.unwrap();

        let failure = (lost.outcome, lost.reason());
        assert_eq!(failure, (CallOutcome::Unknown, Some(RefusalReason::UpstreamFailed)));
        assert!(memory.usage().held >= 100_000);
        assert_eq!((small, body(served)), (b"small".to_vec(), vec![byte; 100_000]));
        assert_eq!(memory.usage().held, 0);
    });
}
