//! The events of all nodes in one order.

use coltsfootroute::event::EventRecord;

use super::{EventFilter, GapDetector, TimelineEntry};

/// The events of all nodes in one order: by hybrid stamp, then node, then sequence number. Effects stand
/// after their causes; each event stands once, however often it was collected.
#[derive(Clone, Debug, Default)]
pub struct MergedTimeline {
    /// Sorted, without duplicates.
    records: Vec<EventRecord>,
}

impl MergedTimeline {
    /// Merges `records`, which come in any order.
    pub fn new(mut records: Vec<EventRecord>) -> Self {
        records.sort_by_key(EventRecord::order_key);
        records.dedup_by_key(|record| (record.order_key(), record.incarnation));
        Self { records }
    }

    /// All events in order.
    pub fn records(&self) -> &[EventRecord] {
        &self.records
    }

    /// The entries that `filter` admits. Gaps are found before filtering, so that what the filter leaves
    /// out is not taken for missing.
    pub fn entries(&self, filter: &EventFilter) -> Vec<TimelineEntry> {
        let mut gaps = GapDetector::new();
        entries_of(&self.records, &mut gaps, filter)
    }
}

/// Entries for `records`, which go on from what `gaps` has seen.
pub(super) fn entries_of(
    records: &[EventRecord],
    gaps: &mut GapDetector,
    filter: &EventFilter,
) -> Vec<TimelineEntry> {
    let mut entries = Vec::new();
    for record in records {
        entries.extend(gaps.observe(record).map(TimelineEntry::Gap));
        entries.push(TimelineEntry::Event(record.clone()));
    }
    entries.retain(|entry| filter.admits(entry));
    entries
}
