//! Number of times that each request has been sent to the upstream.

use std::time::Duration;

use indexmap::IndexMap;

use super::ArrivalNumber;
use crate::time::MonotonicTime;

/// Time after a request's deadline for which its arrivals stay counted. A call that was held up on its way states the time
/// left at its sender, so that the deadline that the guard takes from it can be this much later than that of an earlier
/// attempt.
const RETENTION: Duration = Duration::from_secs(30);

/// Counts how often each request has been sent to the upstream beside the node. A request counts from one at each new
/// guard.
///
/// Memory grows with the requests of twice the longest time between arrival and end of retention: an entry of a map each.
#[derive(Debug, Default)]
pub struct ArrivalCounter {
    newer: Generation,
    older: Generation,
}

/// Requests that arrived in the same period and are forgotten together.
#[derive(Debug, Default)]
struct Generation {
    /// Number of the last arrival of each request, by the hash of its identity.
    arrivals: IndexMap<u64, ArrivalNumber>,
    /// Latest time at which a request of the generation may be forgotten.
    retained_until: MonotonicTime,
}

impl ArrivalCounter {
    /// Counts an arrival of the request whose identity has the hash `request`; returns its number.
    pub fn count(
        &mut self,
        now: MonotonicTime,
        request: u64,
        deadline: MonotonicTime,
    ) -> ArrivalNumber {
        self.forget(now);
        let earlier = self.newer.arrivals.get(&request).or(self.older.arrivals.get(&request));
        let number = earlier.map_or(ArrivalNumber::FIRST, |last| last.next());
        self.newer.arrivals.insert(request, number);
        self.newer.retained_until = self.newer.retained_until.max(deadline + RETENTION);
        number
    }

    /// Returns the number of requests remembered.
    pub fn len(&self) -> usize {
        self.newer.arrivals.len() + self.older.arrivals.len()
    }

    /// Returns whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn forget(&mut self, now: MonotonicTime) {
        if now > self.older.retained_until {
            self.older = std::mem::take(&mut self.newer);
        }
    }
}
