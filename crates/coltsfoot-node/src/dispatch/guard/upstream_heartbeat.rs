//! A heartbeat of the upstream beside the node.

use coltsfootroute::membership::InstanceIncarnation;

use crate::dispatch::links::UpstreamAnnouncement;

/// A heartbeat of the upstream beside the node.
#[derive(Clone, Debug)]
pub struct UpstreamHeartbeat {
    /// Announcement of the upstream.
    pub announcement: UpstreamAnnouncement,
    /// Instance of the upstream.
    pub instance: InstanceIncarnation,
    /// Sequence number, which increases with each heartbeat of an instance.
    pub sequence: u64,
    /// Whether the upstream accepts no new work any more.
    pub is_leaving: bool,
}
