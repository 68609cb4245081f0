//! The HTTP client of the node's own requests, against a server that closes connections.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use coltsfoot_node::http::{OutgoingClient, OutgoingSettings};
use coltsfoot_standin::dropping_listener::start_dropping;
use http::Request;
use http_body_util::Full;
use tokio::{
    runtime::Builder,
    task::{JoinSet, LocalSet},
    time::timeout,
};

use super::util::store_fixture::LONG;

const CLIENTS: usize = 64;
const REQUESTS: usize = 1_000;

fn settings() -> OutgoingSettings {
    OutgoingSettings {
        connect_timeout: LONG,
        idle_timeout: Some(Duration::from_secs(4)),
        keepalive_retries: 2,
        unacknowledged_time: None,
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
