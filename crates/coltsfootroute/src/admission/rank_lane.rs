//! Queue of the waiting calls of one rank.

use super::{LaneOrder, WaitingCall, age_lane::AgeLane, client_lane::ClientLane};

/// Waiting calls of one rank, in one of the orders of [`LaneOrder`].
#[derive(Clone, Debug)]
pub(super) enum RankLane {
    Turns(ClientLane),
    Age(AgeLane),
}

impl RankLane {
    /// Creates an empty lane.
    pub fn new(order: LaneOrder) -> Self {
        match order {
            LaneOrder::ClientTurns => Self::Turns(ClientLane::default()),
            LaneOrder::RequestAge => Self::Age(AgeLane::default()),
        }
    }

    /// Adds a call.
    pub fn push(&mut self, call: &WaitingCall) {
        match self {
            Self::Turns(lane) => lane.push(call.client, call.id),
            Self::Age(lane) => lane.push(call.entered, call.id),
        }
    }

    /// Removes and returns the call to serve next. `newest` selects among the calls of the client in turn, and is
    /// ignored in the order of age. `None` if no call waits.
    pub fn pop(&mut self, newest: bool) -> Option<u64> {
        match self {
            Self::Turns(lane) => lane.pop(newest),
            Self::Age(lane) => lane.pop(),
        }
    }

    /// Returns the call to evict. `oldest` selects among the calls of the client with the most waiting calls. `None` if
    /// no call waits.
    pub fn eviction_candidate(&self, oldest: bool) -> Option<u64> {
        match self {
            Self::Turns(lane) => lane.eviction_candidate(oldest),
            Self::Age(lane) => lane.youngest(),
        }
    }

    /// Returns whether a waiting call should be evicted in favour of `call`, which has the same rank. `newest_first` is
    /// whether the newest calls are served first.
    pub fn yields_to(&self, newest_first: bool, call: &WaitingCall) -> bool {
        match self {
            Self::Turns(lane) => {
                newest_first || lane.count_of(call.client) + 1 < lane.max_calls_per_client()
            }
            Self::Age(lane) => lane.latest_entry().is_some_and(|latest| call.entered < latest),
        }
    }

    /// Removes a call, if it waits.
    pub fn remove(&mut self, call: &WaitingCall) {
        match self {
            Self::Turns(lane) => lane.remove(call.client, call.id),
            Self::Age(lane) => lane.remove(call.entered, call.id),
        }
    }

    /// Returns whether no call is waiting.
    pub fn is_empty(&self) -> bool {
        match self {
            Self::Turns(lane) => lane.is_empty(),
            Self::Age(lane) => lane.is_empty(),
        }
    }
}
