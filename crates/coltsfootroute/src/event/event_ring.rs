//! Bounded memory of recent records.

use std::collections::VecDeque;

use super::EventRecord;

/// The latest records of one node, bounded: a new record pushes out the oldest.
#[derive(Clone, Debug)]
pub struct EventRing {
    /// In order of sequence number; at most `capacity`.
    records: VecDeque<EventRecord>,
    /// At least 1.
    capacity: usize,
    /// Records pushed out so far.
    evicted: u64,
}

impl EventRing {
    /// An empty ring for `capacity` records, at least 1.
    pub fn new(capacity: usize) -> Self {
        let capacity = capacity.max(1);
        Self { records: VecDeque::with_capacity(capacity), capacity, evicted: 0 }
    }

    /// Adds the newest record; sequence numbers must rise.
    pub fn push(&mut self, record: EventRecord) {
        if self.records.len() == self.capacity {
            self.records.pop_front();
            self.evicted += 1;
        }
        self.records.push_back(record);
    }

    /// Up to `limit` records from sequence number `sequence` on, oldest first. Where `sequence` has been
    /// pushed out already, the first record's higher number shows the gap. A `sequence` that the ring
    /// has not reached belongs to an earlier life of the node: the read then starts with the oldest.
    pub fn read_since(&self, sequence: u64, limit: usize) -> Vec<EventRecord> {
        let next = self.records.back().map_or(0, |record| record.sequence + 1);
        let is_earlier_incarnation = sequence > next;
        let first = if is_earlier_incarnation { 0 } else { sequence };
        let start = self.records.partition_point(|record| record.sequence < first);
        self.records.iter().skip(start).take(limit).cloned().collect()
    }

    /// Records pushed out so far.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }
}
