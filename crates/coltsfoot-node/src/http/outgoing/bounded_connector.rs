//! Opens connections whose answers are bounded.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll},
};

use http::Uri;
use hyper_util::{client::legacy::connect::HttpConnector, rt::TokioIo};
use tokio::net::TcpStream;
use tower_service::Service;

use super::bounded_stream::BoundedStream;

/// Opens connections whose answers are bounded.
#[derive(Clone)]
pub(super) struct BoundedConnector {
    connector: HttpConnector,
    /// Bytes of an answer at most, head and framing included.
    limit: usize,
}

impl BoundedConnector {
    /// Opens connections as `connector` does, on which answers have at most `limit` bytes.
    pub(super) fn new(connector: HttpConnector, limit: usize) -> Self {
        Self { connector, limit }
    }
}

impl Service<Uri> for BoundedConnector {
    type Response = TokioIo<BoundedStream>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = BoundedConnecting;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        BoundedConnecting { connecting: self.connector.call(uri), limit: self.limit }
    }
}

/// Opens one connection.
pub(super) struct BoundedConnecting {
    connecting: <HttpConnector as Service<Uri>>::Future,
    limit: usize,
}

impl Future for BoundedConnecting {
    type Output = Result<TokioIo<BoundedStream>, <HttpConnector as Service<Uri>>::Error>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let limit = self.limit;
        let wrap =
            |io: TokioIo<TcpStream>| TokioIo::new(BoundedStream::new(io.into_inner(), limit));
        Pin::new(&mut self.connecting).poll(cx).map_ok(wrap)
    }
}
