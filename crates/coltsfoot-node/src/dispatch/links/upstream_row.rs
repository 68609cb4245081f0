//! The row by which a node finds its upstream again after a restart.

use coltsfootroute::membership::{InstanceName, StartTime};

use super::UpstreamAnnouncement;

/// The row by which a node finds its upstream again after a restart.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(untagged)]
pub enum UpstreamRow {
    /// The upstream is serving.
    Serving(UpstreamAnnouncement),
    /// The upstream has left; a delayed heartbeat of it has no effect, whichever incarnation of the node receives it.
    Departed {
        /// Instance name of the upstream that has left.
        departed: InstanceName,
        /// Start time of the incarnation that has left, if it was given.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        born: Option<StartTime>,
    },
}
