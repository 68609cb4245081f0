//! HTTP client for the requests that the node makes.

mod bounded_connector;
mod bounded_stream;

use std::{marker::PhantomData, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, Error, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

use bounded_connector::BoundedConnector;

/// Time between two probes of a connection on which nothing comes.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// HTTP client for the requests that the node makes; clones share their connections.
#[derive(Clone)]
pub struct OutgoingClient {
    client: Client<BoundedConnector, Full<Bytes>>,
    /// Requests and the connections that carry them advance on one thread, as each thread of the node has a runtime of its
    /// own: where one thread sends while another ends the connection, `hyper` keeps a request that nobody answers or fails.
    thread: PhantomData<Rc<()>>,
}

impl OutgoingClient {
    /// Sends `request`; the answer's body is still to be read. Dropping the future, or the body, closes the connection.
    ///
    /// # Errors
    ///
    /// `hyper`'s own, unless the head of an answer came.
    pub async fn request(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        self.client.request(request).await
    }
}

/// Bytes of an answer's head at most.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Bytes on the wire that an answer may have for each byte of its body: those of chunks of one byte, and some more.
const FRAMING_FACTOR: usize = 8;

/// How connections are opened, watched and kept.
pub struct OutgoingSettings {
    /// Time to open a connection.
    pub connect_timeout: Duration,
    /// An idle connection is closed after this; `None`: each request opens one of its own.
    pub idle_timeout: Option<Duration>,
    /// Probes a second apart without an answer until a connection is given up: open ones may go silent while new ones
    /// work.
    pub keepalive_retries: u32,
    /// A connection whose peer has not acknowledged what was sent for so long is given up; `None`: the system's time.
    pub unacknowledged_time: Option<Duration>,
    /// Largest body of an answer in bytes. A connection that brings far more is closed.
    pub body_limit: usize,
}

impl OutgoingSettings {
    /// A client that never repeats a request by itself: one on a connection that died may have been carried out.
    pub fn client(&self) -> OutgoingClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(self.connect_timeout));
        connector.set_tcp_user_timeout(self.unacknowledged_time);
        connector.set_keepalive(Some(KEEPALIVE));
        connector.set_keepalive_interval(Some(KEEPALIVE));
        connector.set_keepalive_retries(Some(self.keepalive_retries));
        let mut builder = Client::builder(TokioExecutor::new());
        builder.pool_timer(TokioTimer::new()).retry_canceled_requests(false);
        builder.http1_max_buf_size(MAX_HEAD_BYTES);
        match self.idle_timeout {
            Some(time) => builder.pool_idle_timeout(time),
            None => builder.pool_max_idle_per_host(0),
        };
        let answer_limit = MAX_HEAD_BYTES + FRAMING_FACTOR * self.body_limit;
        let connector = BoundedConnector::new(connector, answer_limit);
        OutgoingClient { client: builder.build(connector), thread: PhantomData }
    }
}
