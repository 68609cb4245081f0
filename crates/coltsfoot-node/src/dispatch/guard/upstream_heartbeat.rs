//! A heartbeat of the upstream beside the node.

use coltsfootroute::membership::InstanceIncarnation;

use crate::dispatch::links::UpstreamAnnouncement;

/// A heartbeat of the upstream beside the node.
#[derive(Clone, Debug)]
pub struct UpstreamHeartbeat {
    /// What it says of itself.
    pub announcement: UpstreamAnnouncement,
    /// Its life.
    pub instance: InstanceIncarnation,
    /// Rises with each heartbeat of a life.
    pub sequence: u64,
    /// Whether it takes no new work any more.
    pub is_leaving: bool,
}
