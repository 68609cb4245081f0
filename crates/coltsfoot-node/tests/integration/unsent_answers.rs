//! Answers that their callers have not read yet.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use coltsfoot_node::{
    answers::{AnswerTracker, OpenAnswer},
    http::pipeline::{
        ConnectionLimits, ListenerResources, WholeRequest, WholeResponse, accept_connections,
    },
};
use coltsfoot_standin::{
    slow_reader::SlowReader,
    table::{TableServer, TableSettings},
};
use rstest::rstest;
use tokio::{runtime, task::LocalSet};

use crate::util::{
    condition::{MAX_WAIT, wait_until},
    solo_node::SoloNode,
};

/// Body of an answer in bytes: several times what the kernel holds for a client.
const ANSWER_BYTES: usize = 900_000;
/// Time after which a node that does not wait for its clients has stopped, once it has nothing in flight.
const STOP_TIME: Duration = Duration::from_secs(4);

/// A server with large answers on a thread of its own.
struct LargeServer {
    address: SocketAddr,
    answers: AnswerTracker,
    /// Held by the server and by each of its connections.
    connections: Arc<()>,
}

impl LargeServer {
    /// Starts a server that keeps a connection for `idle_time`; the clients of `/short` give up after 300 ms.
    fn start(idle_time: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
        listener.set_nonblocking(true).expect("socket");
        let address = listener.local_addr().expect("bound");
        let (answers, connections) = (AnswerTracker::default(), Arc::new(()));
        let server = Self { address, answers: answers.clone(), connections: connections.clone() };
        let limits = ConnectionLimits {
            head_bytes: 1_024,
            body_bytes: 64,
            request_time: Duration::from_secs(5),
            idle_time,
        };
        let handle = move |request: WholeRequest, open: &OpenAnswer| {
            let _held = &connections;
            if request.uri().path() == "/short" {
                open.set_remaining(Duration::from_millis(300));
            }
            async { WholeResponse::new(Bytes::from(vec![b'x'; ANSWER_BYTES])) }
        };
        thread::spawn(move || {
            let runtime = runtime::Builder::new_current_thread().enable_all().build();
            LocalSet::new().block_on(&runtime.expect("runtime"), async move {
                let listener = tokio::net::TcpListener::from_std(listener).expect("listener");
                let resources = ListenerResources { answers, ..ListenerResources::default() };
                accept_connections(listener, limits, resources, handle).await;
            });
        });
        server
    }

    /// Number of open connections; the server and the test hold one reference each.
    fn open_connections(&self) -> usize {
        Arc::strong_count(&self.connections) - 2
    }
}

/// Sends a request and waits for the first bytes of its answer.
fn ask(address: SocketAddr, line: &str, body: &str) -> SlowReader {
    let mut client = SlowReader::connect(address).expect("server");
    client.send(line, &["host: a"], body).expect("sent");
    client.await_answer().expect("answer");
    client
}

/// Guards against a planned stop that counts a request as over before its client has its answer.
#[test]
fn an_answer_is_open_until_its_client_has_read_it() {
    let server = LargeServer::start(MAX_WAIT);
    let mut client = ask(server.address, "GET /long", "");

    let before = server.answers.waiting();
    let answer = client.read_answer().expect("answer");
    wait_until(|| server.answers.waiting() == 0);

    assert_eq!((before, answer.is_whole()), (1, true));
}

/// Guards against answers that nobody reads and that stay in memory: each is dropped when its client gives up, or after the
/// time for which an idle connection is kept.
#[rstest]
#[case::at_the_deadline("GET /short", MAX_WAIT)]
#[case::without_a_deadline("GET /long", Duration::from_millis(300))]
fn an_answer_that_nobody_reads_is_dropped(#[case] line: &str, #[case] idle_time: Duration) {
    let server = LargeServer::start(idle_time);
    let mut client = ask(server.address, line, "");

    wait_until(|| server.open_connections() == 0);
    let answer = client.read_answer().expect("answer");

    assert!(!answer.is_whole(), "{answer:?}");
    assert_eq!(server.answers.waiting(), 0);
}

/// Guards against a limit on the time of an answer that is slowly read but read on.
#[test]
fn a_client_that_reads_slowly_gets_its_answer_whole() {
    let server = LargeServer::start(Duration::from_millis(500));
    let mut client = ask(server.address, "GET /long", "");
    let begun = Instant::now();

    let answer =
        client.read_answer_at(ANSWER_BYTES / 10, Duration::from_millis(100)).expect("answer");

    assert!(answer.is_whole(), "{answer:?}");
    assert!(begun.elapsed() > Duration::from_millis(500), "read too fast to show it");
}

/// Answers one call with a large body, then keeps the connection.
fn answer_call(upstream: &TcpListener) {
    let (stream, _) = upstream.accept().expect("a call");
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        reader.read_line(&mut line).expect("the head of a call");
    }
    let body = "x".repeat(ANSWER_BYTES);
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {ANSWER_BYTES}\r\n\r\n");
    reader.get_mut().write_all((head + &body).as_bytes()).expect("the node reads");
}

/// Guards against a planned stop that cuts off what the node's own listeners still write.
#[rstest]
#[case::client(true)]
#[case::host(false)]
fn a_planned_stop_waits_for_the_nodes_own_listeners(#[case] is_client: bool) {
    let table = TableServer::start(&TableSettings::default()).expect("loopback");
    let node = SoloNode::start(table.address(), &[], "", "");
    node.configure();
    let upstream = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = upstream.local_addr().expect("bound");
    let body = format!(r#"{{"service":"stock","address":"{address}","slots":4,"connections":4}}"#);
    assert_eq!(node.host_call("PUT", "/upstream", &[], &body).status, 200);
    let addresses = node.addresses;
    let calling = thread::spawn(move || answer_call(&upstream));
    let listener = if is_client { addresses.client } else { addresses.host };
    let mut client = ask(listener, "POST /call/stock/look", "{}");
    calling.join().expect("an answer");

    let stopping = thread::spawn(move || node.stop());
    let until = Instant::now() + STOP_TIME;
    while !stopping.is_finished() && Instant::now() < until {
        thread::sleep(Duration::from_millis(10));
    }
    let has_cut_off = stopping.is_finished();
    let answer = client.read_answer().expect("answer");
    stopping.join().expect("a planned stop");

    assert!(answer.is_whole(), "{answer:?}");
    assert!(!has_cut_off);
}
