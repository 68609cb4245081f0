//! What the upstream beside the node says of itself.

use std::net::SocketAddr;

use coltsfootroute::{membership::InstanceName, name::ServiceName};

/// What the upstream beside the node says of itself in `PUT /upstream`.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamAnnouncement {
    /// Service that the upstream is one of.
    pub service: ServiceName,
    /// Its life, if it names itself; calls then run on no other one.
    #[serde(default)]
    pub instance: Option<InstanceName>,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Calls it can work on at once; at least 1.
    pub slots: u32,
    /// Connections it takes; at least 1.
    pub connections: u32,
}
