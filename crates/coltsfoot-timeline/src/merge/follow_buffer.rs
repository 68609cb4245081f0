//! One order over events that keep coming.

use coltsfootroute::event::{EventRecord, HybridStamp};

use super::{EventFilter, GapDetector, MergedTimeline, TimelineEntry, merged_timeline::entries_of};

/// Orders events that keep coming, round by round.
///
/// Within one round a node asked early can lack events that are older than those of a node asked late. An
/// event is therefore held back until the round after the one in which it came: by then every node that
/// answers has told what it had before it.
#[derive(Clone, Debug, Default)]
pub struct FollowBuffer {
    /// Events not yet shown.
    pending: Vec<EventRecord>,
    /// Highest stamp of the rounds before this one.
    horizon: HybridStamp,
    gaps: GapDetector,
}

impl FollowBuffer {
    /// An empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes one round of events; gives the entries that can be shown now, in order.
    pub fn push_round(
        &mut self,
        round: Vec<EventRecord>,
        filter: &EventFilter,
    ) -> Vec<TimelineEntry> {
        self.pending.extend(round);
        let timeline = MergedTimeline::new(std::mem::take(&mut self.pending));
        let horizon = self.horizon;
        let split = timeline.records().partition_point(|record| record.stamp <= horizon);
        let (ready, held) = timeline.records().split_at(split);
        self.pending = held.to_vec();
        if let Some(last) = held.last() {
            self.horizon = last.stamp;
        }
        entries_of(ready, &mut self.gaps, filter)
    }
}
