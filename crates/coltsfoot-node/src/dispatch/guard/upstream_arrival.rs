//! One arrival of a request at the upstream.

use std::cell::OnceCell;

use coltsfootroute::retry::ArrivalNumber;
use http::Extensions;
use hyper_util::client::legacy::connect::{CaptureConnection, HttpInfo};

/// One arrival of a request at the upstream: its number, and the connection that carries it.
pub struct UpstreamArrival {
    /// `None` if requests have no identity of their own.
    number: Option<ArrivalNumber>,
    /// Set when the request is handed to the HTTP client, which then chooses or opens a connection.
    connection: OnceCell<CaptureConnection>,
}

impl UpstreamArrival {
    /// Creates the arrival with `number` of a request that has no connection yet.
    pub fn new(number: Option<ArrivalNumber>) -> Self {
        Self { number, connection: OnceCell::new() }
    }

    /// Returns the number of the arrival; `None` if it is not known.
    pub fn number(&self) -> Option<ArrivalNumber> {
        self.number
    }

    /// Returns the local port of the connection that carries the request; `None` if it has none.
    pub fn local_port(&self) -> Option<u16> {
        let mut extensions = Extensions::new();
        self.connection.get()?.connection_metadata().as_ref()?.get_extras(&mut extensions);
        Some(extensions.get::<HttpInfo>()?.local_addr().port())
    }

    /// Sets the connection that will carry the request.
    pub(super) fn set_connection(&self, connection: CaptureConnection) {
        // A request is handed to the client once.
        let _ = self.connection.set(connection);
    }

    /// Marks the connection as not reusable.
    pub(super) fn poison_connection(&self) {
        let Some(connection) = self.connection.get() else { return };
        if let Some(connected) = connection.connection_metadata().as_ref() {
            connected.poison();
        }
    }
}
