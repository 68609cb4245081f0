//! The row by which a node finds its upstream again after a restart.

use coltsfootroute::membership::InstanceName;

use super::UpstreamAnnouncement;

/// The row by which a node finds its upstream again after a restart.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(untagged)]
pub enum UpstreamRow {
    /// The upstream is there.
    Serving(UpstreamAnnouncement),
    /// The upstream has left: a late heartbeat of it changes nothing, whichever life of the node it reaches.
    Departed {
        /// The life that has left.
        departed: InstanceName,
    },
}
