//! Events missing from the time line.

use coltsfootroute::{
    event::HybridStamp,
    id::{Incarnation, NodeId},
};
use serde::Serialize;

/// Events of one node that are missing from the time line: dropped by its journal, pushed out of its
/// ring, or not collected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct EventGap {
    /// The node.
    pub node: NodeId,
    /// The node's life.
    #[serde(serialize_with = "life_number")]
    pub life: Incarnation,
    /// First sequence number missing.
    pub first: u64,
    /// Last sequence number missing; at least `first`.
    pub last: u64,
    /// Stamp of the event before the gap; `None` where the life's start is missing.
    pub after: Option<HybridStamp>,
    /// Stamp of the event after the gap.
    pub before: HybridStamp,
}

impl EventGap {
    /// How many events are missing; at least 1.
    pub fn count(&self) -> u64 {
        self.last - self.first + 1
    }
}

fn life_number<S: serde::Serializer>(life: &Incarnation, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(life.0)
}
