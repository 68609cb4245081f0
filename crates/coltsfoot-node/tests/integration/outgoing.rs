//! The HTTP client of the node's own requests, against a server that closes connections.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

use bytes::Bytes;
use coltsfoot_node::http::{OutgoingClient, OutgoingSettings};
use coltsfoot_standin::dropping_listener::start_dropping;
use http::Request;
use http_body_util::{BodyExt, Full};
use rstest::rstest;
use tokio::{
    runtime::Builder,
    task::{JoinSet, LocalSet},
    time::timeout,
};

use super::util::store_fixture::LONG;

const CLIENTS: usize = 64;
const REQUESTS: usize = 1_000;
const BODY_LIMIT: usize = 64 << 10;

fn settings() -> OutgoingSettings {
    OutgoingSettings {
        connect_timeout: LONG,
        idle_timeout: Some(Duration::from_secs(4)),
        keepalive_retries: 2,
        unacknowledged_time: None,
        body_limit: BODY_LIMIT,
    }
}

/// Sends `requests` requests one after the other. Returns how many of them do not finish within [`LONG`].
async fn unanswered(client: OutgoingClient, address: SocketAddr, requests: usize) -> usize {
    let mut unanswered = 0;
    for _ in 0..requests {
        let request = Request::get(format!("http://{address}/")).body(Full::new(Bytes::new()));
        let answer = timeout(LONG, client.request(request.expect("a request"))).await;
        unanswered += usize::from(answer.is_err());
    }
    unanswered
}

/// Guards against a request that waits forever because its connection was closed while the request was handed to it.
#[test]
fn a_request_that_races_with_a_connection_close_finishes() {
    let address = start_dropping().expect("loopback");
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");

    let unanswered = LocalSet::new().block_on(&runtime, async {
        let mut clients = JoinSet::new();
        for _ in 0..CLIENTS {
            clients.spawn_local(unanswered(settings().client(), address, REQUESTS));
        }
        clients.join_all().await.into_iter().sum::<usize>()
    });

    assert_eq!(unanswered, 0, "unanswered of {} requests", CLIENTS * REQUESTS);
}

/// Serves one connection: sends `start`, then `piece` again and again until its caller closes it.
fn start_endless(start: &'static str, piece: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a caller");
        // The whole request: it has no body.
        let _ = stream.read(&mut [0; 4 * 1024]);
        let _ = stream.write_all(start.as_bytes());
        let pieces = piece.repeat(100);
        while stream.write_all(pieces.as_bytes()).is_ok() {}
    });
    address
}

/// Guards against a server whose bytes are read for as long as they come.
#[rstest]
#[case::informational("", "HTTP/1.1 102 Processing\r\n\r\n")]
#[case::chunk_size("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0", "0000000000")]
#[case::small_chunks("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\na\r\n")]
#[case::body("HTTP/1.1 200 OK\r\n\r\n", "on and on")]
fn an_endless_answer_is_ended(#[case] start: &'static str, #[case] piece: &'static str) {
    let address = start_endless(start, piece);
    let client = settings().client();
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");

    let answer = runtime.block_on(async {
        let request = Request::get(format!("http://{address}/")).body(Full::new(Bytes::new()));
        let answer = client.request(request.expect("a request")).await?;
        Ok::<_, Box<dyn std::error::Error>>(answer.into_body().collect().await?)
    });

    assert!(answer.is_err());
}

/// A call of `holds` is ambiguous and does not compile if the type implements `Send`.
trait AmbiguousIfSend<Marker> {
    fn holds() -> bool {
        true
    }
}

impl<T> AmbiguousIfSend<()> for T {}
impl<T: Send> AmbiguousIfSend<u8> for T {}

/// Guards against a client that sends requests on one thread while another thread closes its connections.
#[test]
fn the_client_stays_on_its_thread() {
    assert!(<OutgoingClient as AmbiguousIfSend<_>>::holds());
}
