//! Errors at the start of a node.

use std::{io, net::SocketAddr};

use crate::{http::ListenerError, metrics::MetricsError, store::StoreError};

/// Error that prevents a node from starting.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The node cannot listen on an address from the settings.
    #[error("cannot listen on {address} for `listen.{name}`: {source}")]
    Listen {
        /// Name of the setting.
        name: &'static str,
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A listener cannot start.
    #[error(transparent)]
    Http(#[from] ListenerError),
    /// The store's client cannot start.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The metrics cannot be registered.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// A thread cannot start.
    #[error("cannot start a thread: {0}")]
    Thread(#[from] io::Error),
}
