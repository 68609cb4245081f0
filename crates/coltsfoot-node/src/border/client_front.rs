//! How clients are served.

use std::future::Future;

use tokio::net::TcpListener;

use crate::dispatch::EntryPort;

/// Serves clients in a protocol of its own, in place of the product's client listener. It runs on the thread
/// of the dispatch duty, so that a request crosses no thread before it is routed.
pub trait ClientFront: Send + 'static {
    /// Serves the connections of `listener` until the process ends. Whoever drops the future of
    /// [`EntryPort::call`] gives the request up.
    fn serve(self, listener: TcpListener, entry: EntryPort) -> impl Future<Output = ()>;
}

/// No front: the product's own client listener serves.
pub enum NoFront {}

impl ClientFront for NoFront {
    async fn serve(self, _listener: TcpListener, _entry: EntryPort) {
        match self {}
    }
}
