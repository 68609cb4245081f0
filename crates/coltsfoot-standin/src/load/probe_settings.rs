//! Settings of the paired probe.

use std::net::SocketAddr;

/// A small stream of requests sent both through a node and directly to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct ProbeSettings {
    /// `service/operation`: repeatable and without nested calls.
    pub operation: String,
    /// Upstreams of the service.
    pub direct: Vec<SocketAddr>,
    /// Pairs a second.
    pub rate: f64,
}
