//! Errors of starting an upstream.

use std::{io, net::SocketAddr};

use coltsfootroute::name::ServiceName;

/// Why an upstream did not start.
#[derive(Debug, thiserror::Error)]
pub enum UpstreamError {
    /// The schema lacks the service.
    #[error("the schema declares no service `{0}`")]
    UnknownService(ServiceName),
    /// The address can't be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address asked for.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The run log can't be opened.
    #[error("cannot open the run log: {0}")]
    RunLog(io::Error),
    /// The thread or its runtime can't be started.
    #[error("cannot start the thread: {0}")]
    Thread(io::Error),
}
