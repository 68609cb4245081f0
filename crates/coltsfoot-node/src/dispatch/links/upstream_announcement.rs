//! Announcement by which an upstream registers with its node.

use std::net::SocketAddr;

use coltsfootroute::{
    membership::{InstanceIncarnation, InstanceName, StartTime},
    name::ServiceName,
};

/// Announcement that the node's upstream sends in `PUT /upstream`.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamAnnouncement {
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Instance name of the upstream, if it has one; calls then run on no other instance.
    #[serde(default)]
    pub instance: Option<InstanceName>,
    /// Start time of the upstream, if it is given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born: Option<StartTime>,
    /// Address at which the upstream accepts calls.
    pub address: SocketAddr,
    /// Number of calls that the upstream can process concurrently; at least 1.
    pub slots: u32,
    /// Number of connections that the upstream accepts; at least 1.
    pub connections: u32,
}

impl UpstreamAnnouncement {
    /// Returns the incarnation of the upstream, if it has a name.
    pub fn incarnation(&self) -> Option<InstanceIncarnation> {
        let name = self.instance.clone()?;
        Some(InstanceIncarnation::new(name).with_started(self.born))
    }
}
