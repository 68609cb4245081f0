//! Starting and stopping a listener.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    thread::{self, JoinHandle},
    time::Duration,
};

use xitca_server::ServerHandle;
use xitca_web::{App, handler::handler_service};

use super::{
    client_listener, host_listener,
    listener_state::{ClientState, HostState},
};

/// Time a client has to send the head of its request.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time an idle connection is kept.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(30);
/// Bytes of a request's head that are read at most.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Headers of a request at most.
const MAX_HEADERS: usize = 64;

/// A listener cannot start.
#[derive(Debug, thiserror::Error)]
#[error("cannot start the {name} listener: {source}")]
pub struct ListenerError {
    name: &'static str,
    source: io::Error,
}

/// A running listener on a thread of its own, with one worker.
pub struct HttpListener {
    address: SocketAddr,
    /// The socket that the server accepts from, shared with it.
    socket: TcpListener,
    handle: ServerHandle,
    thread: JoinHandle<io::Result<()>>,
}

macro_rules! serve_app {
    ($name:expr, $listener:expr, $state:expr, $handler:path) => {{
        App::new()
            .with_state($state)
            .at("/", handler_service($handler))
            .at("/{*path}", handler_service($handler))
            .serve()
            .worker_threads(1)
            .disable_signal()
            .request_head_timeout(REQUEST_HEAD_TIMEOUT)
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
            .max_read_buf_size::<READ_BUFFER_BYTES>()
            .max_request_headers::<MAX_HEADERS>()
            .listen($listener)
    }};
}

impl HttpListener {
    /// Starts the listener for clients.
    ///
    /// # Errors
    ///
    /// [`ListenerError`] if the address cannot be listened on.
    pub fn start_client(listener: TcpListener, state: ClientState) -> Result<Self, ListenerError> {
        let fail = |source| ListenerError { name: "client", source };
        let socket = listener.try_clone().map_err(fail)?;
        let server =
            serve_app!("client", listener, state, client_listener::handle).map_err(fail)?;
        Self::spawn("http-client", socket, server.run()).map_err(fail)
    }

    /// Starts the listener on the host's own address.
    ///
    /// # Errors
    ///
    /// [`ListenerError`] if the address cannot be listened on.
    pub fn start_host(listener: TcpListener, state: HostState) -> Result<Self, ListenerError> {
        let fail = |source| ListenerError { name: "host", source };
        let socket = listener.try_clone().map_err(fail)?;
        let server = serve_app!("host", listener, state, host_listener::handle).map_err(fail)?;
        Self::spawn("http-host", socket, server.run()).map_err(fail)
    }

    fn spawn(
        name: &str,
        socket: TcpListener,
        mut server: xitca_server::ServerFuture,
    ) -> io::Result<Self> {
        let address = socket.local_addr()?;
        let handle = server.handle()?;
        let thread = thread::Builder::new().name(name.to_owned()).spawn(move || server.wait())?;
        Ok(Self { address, socket, handle, thread })
    }

    /// Address listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses connections from now on, so that callers go elsewhere; those open are served on. The
    /// server by itself would leave them to the kernel, unanswered.
    pub fn close(&self) {
        // It fails only on a socket that does not listen any more.
        let _ = rustix::net::shutdown(&self.socket, rustix::net::Shutdown::Both);
    }

    /// Stops the listener and waits until its thread has ended. Callers have been told before.
    pub fn stop(self) {
        self.handle.stop(false);
        // The thread's result only says how the accept loop ended.
        let _ = self.thread.join();
    }
}
