//! A connection that is kept between requests.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::{
    FutureExt,
    future::{Either, select},
};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{Connection, SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::HttpError;

/// A connection and the way to hand it requests. It makes progress only while one of its methods runs.
pub(super) struct KeptConnection {
    address: SocketAddr,
    sender: RequestSender,
    connection: Connection<TokioIo<TcpStream>, Full<Bytes>>,
    used: Instant,
}

impl KeptConnection {
    /// A connection to `address` over `stream`.
    pub(super) async fn open(address: SocketAddr, stream: TcpStream) -> Result<Self, HttpError> {
        let opened = handshake(TokioIo::new(stream)).await;
        let (sender, connection) = opened.map_err(HttpError::Unsent)?;
        Ok(Self { address, sender, connection, used: Instant::now() })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// How long it has not been used.
    pub(super) fn unused(&self) -> Duration {
        self.used.elapsed()
    }

    /// Whether it can take a request; looks at what has come on it meanwhile.
    pub(super) fn is_open(&mut self) -> bool {
        (&mut self.connection).now_or_never().is_none() && !self.sender.is_closed()
    }

    /// Sends `request` and reads the whole answer; gives the connection back if it can take a further request.
    pub(super) async fn exchange(
        self,
        request: Request<Full<Bytes>>,
    ) -> (Result<Response<Bytes>, HttpError>, Option<Self>) {
        let Self { address, sender, connection, .. } = self;
        let exchanged = select(Box::pin(answer_to(sender, request)), connection).await;
        let (answer, sender, connection) = match exchanged {
            Either::Left(((answer, sender), connection)) => (answer, sender, connection),
            // The connection is gone, and what it still held has been failed with it.
            Either::Right((_, answer)) => return (answer.await.0, None),
        };
        let mut kept = Self { address, sender, connection, used: Instant::now() };
        let is_open = answer.is_ok() && kept.is_open();
        (answer, is_open.then_some(kept))
    }
}

type RequestSender = SendRequest<Full<Bytes>>;

async fn answer_to(
    mut sender: RequestSender,
    request: Request<Full<Bytes>>,
) -> (Result<Response<Bytes>, HttpError>, RequestSender) {
    let answer = whole_answer(&mut sender, request).await;
    (answer, sender)
}

async fn whole_answer(
    sender: &mut RequestSender,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, HttpError> {
    sender.ready().await.map_err(HttpError::Unsent)?;
    let answer = sender.send_request(request).await.map_err(HttpError::from_sending)?;
    let (head, body) = answer.into_parts();
    let body = body.collect().await.map_err(HttpError::Broken)?;
    Ok(Response::from_parts(head, body.to_bytes()))
}
