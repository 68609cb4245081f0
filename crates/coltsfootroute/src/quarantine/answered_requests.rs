//! Requests that the upstream beside the node has answered recently.

use std::{hash::Hasher, time::Duration};

use indexmap::IndexSet;
use twox_hash::XxHash3_64;

use super::FingerprintParts;
use crate::time::MonotonicTime;

/// Length of a generation; an answer is kept for one to two generations. A read that many callers repeat is answered
/// many times within a generation, even by an upstream that runs one in a hundred of them.
const GENERATION_TIME: Duration = Duration::from_secs(15);
/// Largest number of requests kept in a generation: 200 KB, and enough for all requests at 500 calls a second.
const MAX_GENERATION_REQUESTS: usize = 8_192;
/// Longest body that is hashed, in bytes. Reads that many callers repeat have short bodies, and hashing a long one
/// takes as much time as sending it.
const MAX_HASHED_BODY_BYTES: usize = 16 * 1024;

/// Requests that the upstream beside the node has answered recently, and which therefore did not cause its crash.
///
/// Without this record, a read that many callers repeat is in flight at each of three crashes that it did not cause,
/// since three upstreams of a rack crash within less than the time of one run: in a minute of the load of the tests in
/// `quarantine/innocent_reads.rs`, 2,217 of 2,520 of its callers are refused, and none are with this record.
#[derive(Clone, Debug)]
pub struct AnsweredRequests {
    /// Random for each node, so that no caller can construct a request that makes another caller's request look
    /// answered.
    seed: u64,
    current: IndexSet<u64>,
    previous: IndexSet<u64>,
    /// Time at which the generation `current` began.
    started: MonotonicTime,
}

impl AnsweredRequests {
    /// Creates a record without answered requests.
    pub fn new(seed: u64, now: MonotonicTime) -> Self {
        Self { seed, current: IndexSet::new(), previous: IndexSet::new(), started: now }
    }

    /// Records that the request has been answered.
    pub fn record(&mut self, now: MonotonicTime, parts: &FingerprintParts<'_>) {
        self.rotate(now);
        if let Some(hash) = self.hash(parts) {
            self.current.insert(hash);
        }
    }

    /// Returns whether the request was answered in the current or the previous generation.
    pub fn contains(&mut self, now: MonotonicTime, parts: &FingerprintParts<'_>) -> bool {
        self.rotate(now);
        let hash = self.hash(parts);
        hash.is_some_and(|hash| self.current.contains(&hash) || self.previous.contains(&hash))
    }

    fn rotate(&mut self, now: MonotonicTime) {
        let age = now.since(self.started);
        if age < GENERATION_TIME && self.current.len() < MAX_GENERATION_REQUESTS {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        if age >= GENERATION_TIME * 2 {
            self.previous.clear();
        }
        self.started = now;
    }

    fn hash(&self, parts: &FingerprintParts<'_>) -> Option<u64> {
        if parts.body.len() > MAX_HASHED_BODY_BYTES {
            return None;
        }
        let mut hash = XxHash3_64::with_seed(self.seed);
        parts.feed(|bytes| hash.write(bytes));
        Some(hash.finish())
    }
}
