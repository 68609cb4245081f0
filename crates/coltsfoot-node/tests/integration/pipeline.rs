//! Pipelined connections, on which a client sends further requests before the first is answered.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use bytes::Bytes;
use coltsfoot_node::http::pipeline::{
    ConnectionLimits, ListenerResources, WholeRequest, WholeResponse, accept_connections,
};
use rstest::rstest;
use tokio::{runtime, task::LocalSet, time::sleep};

use crate::util::condition::{MAX_WAIT, wait_until};

const LIMITS: ConnectionLimits = ConnectionLimits {
    head_bytes: 1_024,
    body_bytes: 64,
    request_time: Duration::from_millis(300),
    idle_time: Duration::from_secs(30),
};

/// Requests observed by the handler.
#[derive(Clone, Default)]
struct HandlerLog {
    /// Requests in the order in which they were started, as `method target body`.
    started: Arc<Mutex<Vec<String>>>,
    /// Number of requests being processed.
    running: Arc<AtomicUsize>,
    /// Largest number of requests processed at the same time.
    max_running: Arc<AtomicUsize>,
}

/// Counts a request as running until it is dropped.
struct Running(Arc<AtomicUsize>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Starts a server that answers with the body of the request, after the milliseconds that its path names;
/// `/close` closes.
fn start() -> (SocketAddr, HandlerLog) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("bound");
    listener.set_nonblocking(true).expect("socket");
    let log = HandlerLog::default();
    let handler_log = log.clone();
    thread::spawn(move || {
        let runtime = runtime::Builder::new_current_thread().enable_all().build().expect("runtime");
        LocalSet::new().block_on(&runtime, async move {
            let listener = tokio::net::TcpListener::from_std(listener).expect("listener");
            let handle = move |request, _: &_| answer(request, handler_log.clone());
            accept_connections(listener, LIMITS, ListenerResources::default(), handle).await;
        });
    });
    (address, log)
}

async fn answer(request: WholeRequest, log: HandlerLog) -> WholeResponse {
    let running = log.running.fetch_add(1, Ordering::SeqCst) + 1;
    log.max_running.fetch_max(running, Ordering::SeqCst);
    let _running = Running(log.running.clone());
    let path = request.uri().path().to_owned();
    let body = String::from_utf8_lossy(request.body()).into_owned();
    let line = format!("{} {path} {body}", request.method());
    log.started.lock().expect("lock").push(line);
    let millis = path.trim_start_matches('/').parse().unwrap_or(0);
    sleep(Duration::from_millis(millis)).await;
    let mut response = WholeResponse::new(Bytes::from(format!("{path}:{body}")));
    if path == "/close" {
        let value = http::HeaderValue::from_static("close");
        response.headers_mut().insert(http::header::CONNECTION, value);
    }
    response
}

/// Sends `text` and reads until the server closes.
fn exchange(address: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("server");
    stream.set_read_timeout(Some(MAX_WAIT)).expect("socket");
    stream.write_all(text.as_bytes()).expect("sent");
    let mut answers = String::new();
    stream.read_to_string(&mut answers).expect("answers");
    answers
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

fn post(path: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n{body}")
}

fn bodies(answers: &str) -> Vec<&str> {
    answers
        .split("\r\n\r\n")
        .skip(1)
        .map(|part| part.split("HTTP/1.1").next().unwrap_or(""))
        .collect()
}

fn statuses(answers: &str) -> Vec<&str> {
    answers.split("HTTP/1.1 ").skip(1).map(|part| &part[..3]).collect()
}

#[test]
fn safe_requests_overlap_and_are_answered_in_order() {
    let (address, log) = start();

    let answers = exchange(address, &(get("/200") + &get("/50") + &get("/close")));

    assert_eq!(bodies(&answers), ["/200:", "/50:", "/close:"]);
    assert_eq!(log.max_running.load(Ordering::SeqCst), 3);
}

#[test]
fn an_unsafe_request_is_processed_alone() {
    let (address, log) = start();

    let answers = exchange(address, &(get("/50") + &post("/20", "fee") + &get("/close")));

    assert_eq!(bodies(&answers), ["/50:", "/20:fee", "/close:"]);
    assert_eq!(log.max_running.load(Ordering::SeqCst), 1);
}

#[test]
fn an_unsafe_request_behind_a_close_is_not_started() {
    let (address, log) = start();

    let answers = exchange(address, &(get("/close") + &post("/0", "fee")));

    assert_eq!(statuses(&answers), ["200"]);
    assert_eq!(*log.started.lock().expect("lock"), ["GET /close "]);
}

#[test]
fn a_close_waits_for_the_requests_that_have_started() {
    let (address, _) = start();

    let answers = exchange(address, &(get("/close") + &get("/50") + &get("/close")));

    assert_eq!(bodies(&answers), ["/close:", "/50:", "/close:"]);
    assert_eq!(answers.matches("connection: close").count(), 1);
}

#[test]
fn a_client_that_disconnects_cancels_its_requests() {
    let (address, log) = start();
    let mut stream = TcpStream::connect(address).expect("server");
    stream.write_all((get("/60000") + &get("/60000")).as_bytes()).expect("sent");
    wait_until(|| log.running.load(Ordering::SeqCst) == 2);

    stream.shutdown(Shutdown::Both).expect("open");

    wait_until(|| log.running.load(Ordering::SeqCst) == 0);
}

#[test]
fn a_disconnect_behind_an_unread_request_is_detected() {
    let (address, log) = start();
    let mut stream = TcpStream::connect(address).expect("server");
    // The second request stays unread until the first, which is not safe, has been answered.
    stream.write_all((post("/60000", "fee") + &get("/0")).as_bytes()).expect("sent");
    wait_until(|| log.running.load(Ordering::SeqCst) == 1);

    stream.shutdown(Shutdown::Both).expect("open");

    wait_until(|| log.running.load(Ordering::SeqCst) == 0);
}

#[test]
fn chunks_are_reassembled_however_they_are_split() {
    let (address, _) = start();
    let head = "POST /0 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    let text =
        format!("{head}3;x=y\r\nfee\r\nA\r\n0123456789\r\n0\r\nt: v\r\n\r\n{}", get("/close"));
    let mut stream = TcpStream::connect(address).expect("server");
    stream.set_read_timeout(Some(MAX_WAIT)).expect("socket");

    for piece in text.as_bytes().chunks(7) {
        stream.write_all(piece).expect("sent");
        stream.flush().expect("sent");
    }
    let mut answers = String::new();
    stream.read_to_string(&mut answers).expect("answers");

    assert_eq!(bodies(&answers), ["/0:fee0123456789", "/close:"]);
}

#[rstest]
#[case::two_lengths("content-length: 3\r\ncontent-length: 4\r\n\r\nfeee", "400")]
#[case::length_and_chunks("content-length: 3\r\ntransfer-encoding: chunked\r\n\r\nfee", "400")]
#[case::other_encoding("transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "400")]
#[case::signed_length("content-length: +3\r\n\r\nfee", "400")]
#[case::bad_chunk("transfer-encoding: chunked\r\n\r\nxyz\r\n", "400")]
#[case::chunk_without_its_end("transfer-encoding: chunked\r\n\r\n1\r\nabc0\r\n\r\n", "400")]
#[case::large_body("content-length: 65\r\n\r\n", "413")]
#[case::large_chunk("transfer-encoding: chunked\r\n\r\n41\r\n", "413")]
#[case::endless_length("content-length: 99999999999999999999999\r\n\r\n", "413")]
#[case::no_header("no header\r\n\r\n", "400")]
#[case::rest_of_the_body_missing("content-length: 9\r\n\r\nfee", "408")]
fn an_invalid_request_closes_the_connection(#[case] rest: &str, #[case] status: &str) {
    let (address, log) = start();
    let smuggled = format!("POST /0 HTTP/1.1\r\nhost: a\r\n{rest}");

    let answers = exchange(address, &(get("/0") + &smuggled));

    assert_eq!(statuses(&answers), ["200", status]);
    assert_eq!(*log.started.lock().expect("lock"), ["GET /0 "]);
}

#[test]
fn a_head_that_is_too_large_is_refused() {
    let (address, _) = start();
    let text = format!("GET /0 HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n", "y".repeat(1_024));

    let answers = exchange(address, &text);

    assert_eq!(statuses(&answers), ["431"]);
}

#[test]
fn expect_continue_is_answered_before_the_body_is_sent() {
    let (address, _) = start();
    let mut stream = TcpStream::connect(address).expect("server");
    stream.set_read_timeout(Some(MAX_WAIT)).expect("socket");
    let head =
        "POST /close HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\nexpect: 100-continue\r\n\r\n";
    stream.write_all(head.as_bytes()).expect("sent");

    let mut interim = [0; 25];
    stream.read_exact(&mut interim).expect("interim response");
    stream.write_all(b"fee").expect("sent");
    let mut answers = String::new();
    stream.read_to_string(&mut answers).expect("answer");

    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    assert_eq!(bodies(&answers), ["/close:fee"]);
}
