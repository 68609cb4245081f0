//! Result of an attempt to claim a key.

use super::{ClaimDetails, ClaimRefusal, ClaimTicket, StoredAnswer};
use crate::outcome::{CallOutcome, RefusalReason};

/// Result of an attempt to claim a key.
#[derive(Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The key was claimed: dispatch the request with this ticket.
    Dispatch(ClaimTicket),
    /// The request has already run; contains its answer.
    Replay(StoredAnswer),
    /// The key was claimed for another body.
    Conflict,
    /// The retention of the key's record has ended.
    Expired,
    /// The key is claimed by another attempt, whose holder may be queried.
    Busy(ClaimDetails),
    /// The request was dispatched, or may have been, by a holder that stored no complete answer.
    Interrupted,
    /// The request was not dispatched.
    Refuse(ClaimRefusal),
}

impl ClaimResult {
    /// Returns the outcome to report to the caller; `None` for a dispatch, which has none yet.
    pub fn outcome(&self) -> Option<CallOutcome> {
        match self {
            Self::Dispatch(_) => None,
            Self::Replay(_) => Some(CallOutcome::Completed),
            // The body of this request ran on no upstream.
            Self::Conflict | Self::Refuse(_) => Some(CallOutcome::NotRun),
            // An earlier attempt with this key and body ran or may have run.
            Self::Expired | Self::Busy(_) | Self::Interrupted => Some(CallOutcome::Unknown),
        }
    }

    /// Returns the reason for the body of the refusal; `None` for results that refuse nothing.
    pub fn reason(&self) -> Option<RefusalReason> {
        match self {
            Self::Dispatch(_) | Self::Replay(_) => None,
            Self::Conflict => Some(RefusalReason::KeyConflict),
            Self::Expired => Some(RefusalReason::KeyExpired),
            Self::Busy(_) | Self::Interrupted => Some(RefusalReason::KeyInProgress),
            Self::Refuse(refusal) => Some(refusal.reason),
        }
    }
}
