//! Bounded buffer of recent event records.

use std::collections::VecDeque;

use super::EventRecord;

/// Ring buffer of the latest records of one node. When it is full, a new record evicts the oldest.
#[derive(Clone, Debug)]
pub struct EventRing {
    /// Records in order of sequence number, at most `capacity`.
    records: VecDeque<EventRecord>,
    /// Maximum number of records, at least 1.
    capacity: usize,
    /// Number of evicted records.
    evicted: u64,
}

impl EventRing {
    /// Creates an empty ring for `capacity` records, or for 1 if `capacity` is 0.
    pub fn new(capacity: usize) -> Self {
        let capacity = capacity.max(1);
        Self { records: VecDeque::with_capacity(capacity), capacity, evicted: 0 }
    }

    /// Appends the newest record. Sequence numbers must increase.
    pub fn push(&mut self, record: EventRecord) {
        if self.records.len() == self.capacity {
            self.records.pop_front();
            self.evicted += 1;
        }
        self.records.push_back(record);
    }

    /// Returns up to `limit` records from sequence number `sequence` on, oldest first. If `sequence` has been evicted,
    /// the higher number of the first record shows the gap. A `sequence` that the ring has not reached belongs to an
    /// earlier incarnation of the node, so the read starts with the oldest record.
    pub fn read_since(&self, sequence: u64, limit: usize) -> Vec<EventRecord> {
        let next = self.records.back().map_or(0, |record| record.sequence + 1);
        let is_earlier_incarnation = sequence > next;
        let first = if is_earlier_incarnation { 0 } else { sequence };
        let start = self.records.partition_point(|record| record.sequence < first);
        self.records.iter().skip(start).take(limit).cloned().collect()
    }

    /// Returns the number of evicted records.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }
}
