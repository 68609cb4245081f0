//! Accepting connections and serving them.

use std::{convert::Infallible, pin::pin, sync::Arc};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    task::JoinSet,
};

use crate::http_client::HttpClient;

use super::{request_router::route_request, upstream_state::UpstreamState};

/// Serves connections, at most `max_connections` at once, until `stop` turns true; then finishes
/// the requests under way.
pub(super) async fn serve_connections(
    listener: TcpListener,
    state: Arc<UpstreamState>,
    client: HttpClient,
    max_connections: usize,
    mut stop: watch::Receiver<bool>,
) {
    let places = Arc::new(Semaphore::new(max_connections));
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &places) => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let Some((stream, place)) = accepted else { continue };
        let (state, client, stop) = (Arc::clone(&state), client.clone(), stop.clone());
        connections.spawn(async move {
            serve_connection(stream, state, client, stop).await;
            drop(place);
        });
        while connections.try_join_next().is_some() {}
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn accept(
    listener: &TcpListener,
    places: &Arc<Semaphore>,
) -> Option<(TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    let place = Arc::clone(places).acquire_owned().await.ok()?;
    let (stream, _) = listener.accept().await.ok()?;
    Some((stream, place))
}

/// Serves one connection. A caller that closes it drops the call's future and so stops its work.
async fn serve_connection(
    stream: TcpStream,
    state: Arc<UpstreamState>,
    client: HttpClient,
    mut stop: watch::Receiver<bool>,
) {
    // Without it answers of a few bytes wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let (state, client) = (Arc::clone(&state), client.clone());
        async move { Ok::<_, Infallible>(route_request(state, client, request).await) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    // A broken connection concerns its caller only.
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = stop.wait_for(|stop| *stop) => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
