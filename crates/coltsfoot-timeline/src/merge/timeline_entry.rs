//! One entry of the time line.

use coltsfootroute::{event::EventRecord, id::NodeId};

use super::EventGap;

/// One entry of the time line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TimelineEntry {
    /// An event.
    Event(EventRecord),
    /// Events missing, just before the next event of the same node.
    Gap(EventGap),
}

impl TimelineEntry {
    /// The node that the entry belongs to.
    pub fn node(&self) -> NodeId {
        match self {
            Self::Event(record) => record.node,
            Self::Gap(gap) => gap.node,
        }
    }
}
