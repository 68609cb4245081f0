//! Requests that the upstream beside the node has answered of late.

use std::{hash::Hasher, time::Duration};

use indexmap::IndexSet;
use twox_hash::XxHash3_64;

use super::FingerprintParts;
use crate::time::MonotonicTime;

/// An answer is remembered for one to two of these. A read that many callers repeat is answered many times within it, even
/// by an upstream that runs one in a hundred of them.
const GENERATION_TIME: Duration = Duration::from_secs(15);
/// Requests remembered of each generation: 200 KB, and at 500 calls a second all of them.
const MAX_GENERATION_REQUESTS: usize = 8_192;
/// Longest body that is looked at. Reads that many callers repeat have short ones, and a long one costs as much time here
/// as to send.
const MAX_HASHED_BODY_BYTES: usize = 16 * 1024;

/// Requests that the upstream beside the node has answered of late: what ended it was something else.
///
/// Without it a read that many callers repeat is under way at each of three ends that it has no part in, started three
/// upstreams of a rack end within less than the time of one run: in a minute of the load of the tests in
/// `quarantine/innocent_reads.rs` 2,217 of 2,520 of its callers are turned away, and none with it.
#[derive(Clone, Debug)]
pub struct AnsweredRequests {
    /// Drawn by each node, so that nobody can make another's request look answered.
    seed: u64,
    current: IndexSet<u64>,
    previous: IndexSet<u64>,
    /// When `current` began.
    started: MonotonicTime,
}

impl AnsweredRequests {
    /// Nothing answered yet.
    pub fn new(seed: u64, now: MonotonicTime) -> Self {
        Self { seed, current: IndexSet::new(), previous: IndexSet::new(), started: now }
    }

    /// The request has been answered.
    pub fn record(&mut self, now: MonotonicTime, parts: &FingerprintParts<'_>) {
        self.rotate(now);
        if let Some(hash) = self.hash(parts) {
            self.current.insert(hash);
        }
    }

    /// Whether the request has been answered of late.
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
