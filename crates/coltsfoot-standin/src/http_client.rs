//! The HTTP client that the stand-ins share.

mod http_error;
mod kept_connection;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, Uri, header::HOST, uri::PathAndQuery};
use http_body_util::Full;
use tokio::{net::TcpStream, time::timeout};

pub use http_error::HttpError;
use kept_connection::KeptConnection;

/// How long an unused connection is kept, well below the servers' own limit, so that a request
/// seldom meets a connection that the server is about to close.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Bound on opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Client over kept connections, which clones share; never repeats a request.
///
/// A request and the connection that carries it advance in one task. With a task for each, two threads may meet: one hands
/// the request over while the other ends the connection, and `hyper` then keeps a request that nobody answers or fails.
#[derive(Clone)]
pub struct HttpClient {
    /// Unused connections, the one used last at the end; no more than `max_idle` lead to one address.
    idle: Arc<Mutex<Vec<KeptConnection>>>,
    max_idle: usize,
}

impl HttpClient {
    /// A client that keeps up to `max_idle` unused connections an address.
    pub fn new(max_idle: usize) -> Self {
        Self { idle: Arc::default(), max_idle }
    }

    /// Sends `request`, whose URI names an address and a port, and reads the whole answer. Dropping the future closes the
    /// connection.
    ///
    /// # Errors
    ///
    /// [`HttpError`] unless a whole answer came.
    pub async fn request(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, HttpError> {
        let address = take_address(&mut request)?;
        let connection = match self.take_idle(address) {
            Some(connection) => connection,
            None => open(address).await?,
        };
        let (answer, connection) = connection.exchange(request).await;
        if let Some(connection) = connection {
            self.keep(connection);
        }
        answer
    }

    /// The connection to `address` that was used last and is still open.
    fn take_idle(&self, address: SocketAddr) -> Option<KeptConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|connection| connection.unused() < IDLE_TIMEOUT);
        loop {
            let place = idle.iter().rposition(|connection| connection.address() == address)?;
            let mut connection = idle.remove(place);
            if connection.is_open() {
                return Some(connection);
            }
        }
    }

    fn keep(&self, connection: KeptConnection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let is_same = |other: &&KeptConnection| other.address() == connection.address();
        if idle.iter().filter(is_same).count() < self.max_idle {
            idle.push(connection);
        }
    }
}

async fn open(address: SocketAddr) -> Result<KeptConnection, HttpError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.map_err(|elapsed| HttpError::Connect(elapsed.into()))?;
    let stream = stream.map_err(HttpError::Connect)?;
    stream.set_nodelay(true).map_err(HttpError::Connect)?;
    KeptConnection::open(address, stream).await
}

/// Where the request goes. Leaves it as a server expects it: with the path alone, and a host.
fn take_address(request: &mut Request<Full<Bytes>>) -> Result<SocketAddr, HttpError> {
    let parts = request.uri().clone().into_parts();
    let authority = parts.authority.ok_or(HttpError::Address)?;
    let address = authority.as_str().parse().map_err(|_| HttpError::Address)?;
    let host = HeaderValue::from_str(authority.as_str()).map_err(|_| HttpError::Address)?;
    request.headers_mut().entry(HOST).or_insert(host);
    let path = parts.path_and_query.unwrap_or_else(|| PathAndQuery::from_static("/"));
    *request.uri_mut() = Uri::from(path);
    Ok(address)
}
