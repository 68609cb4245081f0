//! The HTTP client that the stand-ins share.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

/// Client over pooled connections; the pool is shared by clones.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// How long an unused connection is kept, well below the servers' own limit, so that a request
/// seldom meets a connection that the server is about to close.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Bound on opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A client that keeps up to `max_idle` unused connections a host and never repeats a request.
pub fn new_http_client(max_idle: usize) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        .retry_canceled_requests(false)
        .build(connector)
}
