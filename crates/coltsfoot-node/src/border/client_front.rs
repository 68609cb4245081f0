//! Front that serves clients in the protocol of a platform.

use std::future::Future;

use tokio::net::TcpListener;

use crate::dispatch::EntryPort;

/// Serves clients in a platform-specific protocol, in place of the native client listener. It runs on the thread of the
/// dispatch duty, so that a request is routed without a switch of threads.
pub trait ClientFront: Send + 'static {
    /// Serves the connections of `listener` until the process ends. Dropping the future of [`EntryPort::call`] cancels
    /// the request.
    fn serve(self, listener: TcpListener, entry: EntryPort) -> impl Future<Output = ()>;
}

/// Placeholder for a node without a front, whose clients are served by the native listener.
pub enum NoFront {}

impl ClientFront for NoFront {
    async fn serve(self, _listener: TcpListener, _entry: EntryPort) {
        match self {}
    }
}
