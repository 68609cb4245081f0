//! Life of an upstream.

use std::{sync::Arc, thread, time::Duration};

use tokio::{
    net::TcpListener,
    runtime::{Builder, Runtime},
    sync::watch,
    time::{Instant, sleep},
};

use crate::http_client::HttpClient;

use super::{
    UpstreamError, UpstreamHandle, UpstreamSettings, connection_loop::serve_connections,
    node_link::NodeLink, upstream_state::UpstreamState,
};

/// Unused connections kept to the own node.
const MAX_IDLE_CONNECTIONS: usize = 256;
/// Connections taken besides those of the schema, for operators and tests.
const SPARE_CONNECTIONS: usize = 16;
/// How long nothing must have run after the leave before the upstream stops.
const QUIET_TIME: Duration = Duration::from_millis(300);
/// How long the upstream waits for its last runs.
const DRAIN_LIMIT: Duration = Duration::from_secs(15);
/// How often the drain looks.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Starts upstreams, each on a thread of its own.
pub struct UpstreamServer;

impl UpstreamServer {
    /// Starts an upstream; it listens when this returns.
    ///
    /// # Errors
    /// See [`UpstreamError`].
    pub fn start(settings: UpstreamSettings) -> Result<UpstreamHandle, UpstreamError> {
        let listen = settings.listen;
        let state = Arc::new(UpstreamState::new(settings)?);
        let runtime =
            Builder::new_current_thread().enable_all().build().map_err(UpstreamError::Thread)?;
        let listener = runtime
            .block_on(TcpListener::bind(listen))
            .map_err(|source| UpstreamError::Listen { address: listen, source })?;
        let address = listener
            .local_addr()
            .map_err(|source| UpstreamError::Listen { address: listen, source })?;
        let (stop_sender, stop_receiver) = watch::channel(false);
        let shared = Arc::clone(&state);
        let thread = thread::Builder::new()
            .name("upstream".to_owned())
            .spawn(move || run(&runtime, listener, shared, stop_receiver))
            .map_err(UpstreamError::Thread)?;
        Ok(UpstreamHandle::new(address, state, stop_sender, thread))
    }
}

fn run(
    runtime: &Runtime,
    listener: TcpListener,
    state: Arc<UpstreamState>,
    mut stop: watch::Receiver<bool>,
) {
    runtime.block_on(async move {
        let client = HttpClient::new(MAX_IDLE_CONNECTIONS);
        let address = listener.local_addr().unwrap_or(state.settings.listen);
        let node = state.settings.node;
        let link =
            node.map(|node| NodeLink::new(Arc::clone(&state), client.clone(), node, address));
        let (close_sender, close_receiver) = watch::channel(false);
        let max_connections = state.service.connections as usize + SPARE_CONNECTIONS;
        let served = tokio::spawn(serve_connections(
            listener,
            Arc::clone(&state),
            client,
            max_connections,
            close_receiver,
        ));
        let is_ended = tokio::select! {
            () = state.ended() => true,
            () = announce_until(link.as_ref(), &mut stop) => false,
        };
        if is_ended {
            served.abort();
            let _ = served.await;
            return;
        }
        state.leave();
        if let Some(link) = &link {
            link.leave().await;
        }
        wait_until_quiet(&state).await;
        let _ = close_sender.send(true);
        let _ = served.await;
    });
}

async fn announce_until(link: Option<&NodeLink>, stop: &mut watch::Receiver<bool>) {
    let stopped = stop.wait_for(|stop| *stop);
    match link {
        Some(link) => tokio::select! {
            () = link.announce() => {}
            _ = stopped => {}
        },
        None => {
            let _ = stopped.await;
        }
    }
}

/// Waits until nothing ran for a while: the node may have dispatched just before it heard.
async fn wait_until_quiet(state: &UpstreamState) {
    let limit = Instant::now() + DRAIN_LIMIT;
    let mut quiet_since = Instant::now();
    while quiet_since.elapsed() < QUIET_TIME && Instant::now() < limit {
        if state.counts().running() > 0 || state.queue.waiting() > 0 {
            quiet_since = Instant::now();
        }
        sleep(DRAIN_POLL).await;
    }
}
