//! What the upstream beside the node says of itself.

use std::net::SocketAddr;

use coltsfootroute::{
    membership::{InstanceIncarnation, InstanceName, StartTime},
    name::ServiceName,
};

/// What the upstream beside the node says of itself in `PUT /upstream`.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamAnnouncement {
    /// Service that the upstream is one of.
    pub service: ServiceName,
    /// Its name, if it has one; calls then run on no other one.
    #[serde(default)]
    pub instance: Option<InstanceName>,
    /// When it started, if it says so.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born: Option<StartTime>,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Calls it can work on at once; at least 1.
    pub slots: u32,
    /// Connections it takes; at least 1.
    pub connections: u32,
}

impl UpstreamAnnouncement {
    /// The life that announces itself, if it has a name.
    pub fn life(&self) -> Option<InstanceIncarnation> {
        let name = self.instance.clone()?;
        Some(InstanceIncarnation::new(name).with_started(self.born))
    }
}
