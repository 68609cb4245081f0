//! The row by which a node finds its upstream again after a restart.

use coltsfootroute::membership::{InstanceName, StartTime};

use super::UpstreamAnnouncement;

/// The row by which a node finds its upstream again after a restart.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(untagged)]
pub enum UpstreamRow {
    /// The upstream is there.
    Serving(UpstreamAnnouncement),
    /// The upstream has left: a late heartbeat of it changes nothing, whichever life of the node it reaches.
    Departed {
        /// Name of the upstream that has left.
        departed: InstanceName,
        /// When the life that has left began, if it said so.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        born: Option<StartTime>,
    },
}
