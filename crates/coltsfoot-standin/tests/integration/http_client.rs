//! The HTTP client that stand-ins and tests share, against servers that end connections.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use coltsfoot_standin::http_client::{HttpClient, new_http_client};
use http::Request;
use http_body_util::Full;
use tokio::{io::AsyncReadExt, net::TcpListener, runtime, task::JoinSet, time::timeout};

/// Far more than a request to a listener on the same host takes: a test that reaches it has failed.
const LONG: Duration = Duration::from_secs(5);
const CLIENTS: usize = 8;
const REQUESTS: usize = 400;

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

async fn send(client: &HttpClient, address: SocketAddr) -> bool {
    let request = Request::get(format!("http://{address}/")).body(Full::new(Bytes::new()));
    let request = client.request(request.expect("a request"));
    timeout(LONG, request).await.is_ok()
}

/// Guards against a request that waits for ever since its connection was reset while it was being sent.
#[test]
fn a_request_whose_connection_is_reset_ends() {
    let runtime = runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let unanswered = runtime.expect("a runtime").block_on(async {
        let address = start_resetting().await;
        let mut clients = JoinSet::new();
        for _ in 0..CLIENTS {
            clients.spawn(async move {
                let client = new_http_client(1);
                let mut unanswered = 0;
                for _ in 0..REQUESTS {
                    unanswered += usize::from(!send(&client, address).await);
                }
                unanswered
            });
        }
        clients.join_all().await.into_iter().sum::<usize>()
    });

    assert_eq!(unanswered, 0, "of {}", CLIENTS * REQUESTS);
}
