//! The HTTP client that stand-ins and tests share, against servers that end connections.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use coltsfoot_standin::{
    dropping_listener::start_dropping,
    http_client::{HttpClient, HttpError},
};
use http::{Request, Response};
use http_body_util::Full;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::{Builder, Runtime},
    task::JoinSet,
    time::timeout,
};

/// Far more than a request to a listener on the same host takes: a test that reaches it has failed.
const LONG: Duration = Duration::from_secs(5);
const CLIENTS: usize = 8;
const REQUESTS: usize = 400;
/// Requests of many clients on more threads than processors: enough for some to be sent just as their connections end.
const CROWD_CLIENTS: usize = 64;
const CROWD_REQUESTS: usize = 6_000;
const CROWD_THREADS: usize = 16;

/// A listener that resets each connection: every other one as it comes, the others once something was read.
async fn start_resetting() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        let mut reads_first = false;
        while let Ok((mut stream, _)) = listener.accept().await {
            reads_first = !reads_first;
            tokio::spawn(async move {
                if reads_first {
                    let _ = stream.read(&mut [0; 16]).await;
                }
                let _ = stream.set_zero_linger();
            });
        }
    });
    address
}

/// A listener that answers with the number of the connection, on connections that it keeps open for `answers` answers each.
async fn start_counting(answers: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        for number in 0_usize.. {
            let Ok((stream, _)) = listener.accept().await else { return };
            tokio::spawn(answer_with(number, answers, stream));
        }
    });
    address
}

async fn answer_with(number: usize, answers: usize, mut stream: TcpStream) {
    let text = number.to_string();
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}", text.len());
    for _ in 0..answers {
        let Ok(1..) = stream.read(&mut [0; 1024]).await else { return };
        let _ = stream.write_all(answer.as_bytes()).await;
    }
}

#[expect(clippy::disallowed_methods, reason = "the client holds on any runtime")]
fn runtime(threads: usize) -> Runtime {
    Builder::new_multi_thread().worker_threads(threads).enable_all().build().expect("a runtime")
}

async fn send(client: &HttpClient, address: SocketAddr) -> Result<Response<Bytes>, HttpError> {
    let request = Request::get(format!("http://{address}/")).body(Full::new(Bytes::new()));
    client.request(request.expect("a request")).await
}

/// The number of the connection that brought the answer; asks again where the request crossed the end of one.
async fn connection_of_answer(client: &HttpClient, address: SocketAddr) -> usize {
    loop {
        if let Ok(answer) = timeout(LONG, send(client, address)).await.expect("an end") {
            return String::from_utf8_lossy(answer.body()).parse().expect("a number");
        }
    }
}

/// How many of the `requests` of each of `clients` clients never end.
async fn unanswered(address: SocketAddr, clients: usize, requests: usize) -> usize {
    let mut crowd = JoinSet::new();
    for _ in 0..clients {
        crowd.spawn(async move {
            let client = HttpClient::new(1);
            let mut unanswered = 0;
            for _ in 0..requests {
                unanswered += usize::from(timeout(LONG, send(&client, address)).await.is_err());
            }
            unanswered
        });
    }
    crowd.join_all().await.into_iter().sum()
}

/// Guards against a request that waits for ever since its connection was reset while it was being sent.
#[test]
fn a_request_whose_connection_is_reset_ends() {
    let unanswered =
        runtime(2).block_on(async { unanswered(start_resetting().await, CLIENTS, REQUESTS).await });

    assert_eq!(unanswered, 0, "of {}", CLIENTS * REQUESTS);
}

/// Guards against a request that waits for ever since one thread handed it to its connection while another ended that.
#[test]
fn a_request_that_crosses_the_end_of_its_connection_ends() {
    let address = start_dropping().expect("loopback");

    let unanswered =
        runtime(CROWD_THREADS).block_on(unanswered(address, CROWD_CLIENTS, CROWD_REQUESTS));

    assert_eq!(unanswered, 0, "of {}", CROWD_CLIENTS * CROWD_REQUESTS);
}

/// A connection is used as long as it is open, and not for longer.
#[rstest]
#[case::kept(1, 2, [0, 0, 1, 1])]
#[case::ends_after_each_answer(1, 1, [0, 1, 2, 3])]
#[case::none_is_kept(0, 2, [0, 1, 2, 3])]
fn connections_are_kept_while_they_are_open(
    #[case] max_idle: usize,
    #[case] answers: usize,
    #[case] expected: [usize; 4],
) {
    let numbers = runtime(1).block_on(async {
        let (address, client) = (start_counting(answers).await, HttpClient::new(max_idle));
        let mut numbers = Vec::new();
        for _ in 0..expected.len() {
            numbers.push(connection_of_answer(&client, address).await);
        }
        numbers
    });

    assert_eq!(numbers, expected);
}

/// Guards against a load that counts what never left the client as interrupted, or the other way round.
#[test]
fn an_error_tells_what_was_not_sent() {
    let (refused, broken) = runtime(1).block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
        let gone = listener.local_addr().expect("bound");
        drop(listener);
        let client = HttpClient::new(1);
        (send(&client, gone).await, send(&client, start_counting(0).await).await)
    });

    assert!(matches!(refused, Err(HttpError::Connect(_))), "{refused:?}");
    assert!(matches!(broken, Err(HttpError::Broken(_) | HttpError::Unsent(_))), "{broken:?}");
}
