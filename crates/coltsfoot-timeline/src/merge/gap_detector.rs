//! Finds events that are missing.

use coltsfootroute::{
    event::{EventRecord, HybridStamp},
    id::{Incarnation, NodeId},
};
use indexmap::IndexMap;

use super::EventGap;

/// Finds missing events by their sequence numbers, within each life of each node.
#[derive(Clone, Debug, Default)]
pub struct GapDetector {
    /// Last event seen of each life.
    last: IndexMap<(NodeId, Incarnation), LastEvent>,
}

#[derive(Clone, Copy, Debug)]
struct LastEvent {
    sequence: u64,
    stamp: HybridStamp,
}

impl GapDetector {
    /// A detector that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the next record, in the time line's order; the gap before it, if there is one.
    pub fn observe(&mut self, record: &EventRecord) -> Option<EventGap> {
        let last = LastEvent { sequence: record.sequence, stamp: record.stamp };
        let previous = self.last.insert((record.node, record.incarnation), last);
        let first = previous.map_or(0, |event| event.sequence.saturating_add(1));
        let is_missing = record.sequence > first;
        is_missing.then(|| EventGap {
            node: record.node,
            life: record.incarnation,
            first,
            last: record.sequence - 1,
            after: previous.map(|event| event.stamp),
            before: record.stamp,
        })
    }
}
