//! The row by which a node finds its upstream again after a restart.

use coltsfootroute::{
    membership::{InstanceName, StartTime},
    table::StoreEra,
};

use super::UpstreamAnnouncement;

/// The row by which a node finds its upstream again after a restart.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct UpstreamRow {
    /// Era of the store in which the row was written, if the store states one. A row of an earlier era than the present one
    /// may be older than what the node wrote last.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub era: Option<StoreEra>,
    /// What the row says of the upstream.
    #[serde(flatten)]
    pub state: UpstreamState,
}

/// What a row says of the upstream beside its node.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(untagged)]
pub enum UpstreamState {
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

impl UpstreamRow {
    /// Returns whether the row may be older than what the node wrote last, because the store has come back from an older
    /// copy since; `latest` is the present era. A row without an era was written by an earlier release, and is not doubted.
    pub fn is_outdated(&self, latest: Option<StoreEra>) -> bool {
        self.era.is_some_and(|era| latest.is_some_and(|latest| era < latest))
    }
}
