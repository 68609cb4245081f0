//! How an attempt to claim ends.

use super::{ClaimDetails, ClaimRefusal, ClaimTicket, StoredAnswer};
use crate::outcome::{CallOutcome, RefusalReason};

/// How an attempt to claim a key ends.
#[derive(Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// Claimed: dispatch with this ticket.
    Dispatch(ClaimTicket),
    /// It ran before: this is its answer.
    Replay(StoredAnswer),
    /// The key stands with another body.
    Conflict,
    /// The retention of the key's record has ended.
    Expired,
    /// Claimed by another attempt, whose holder may be asked.
    Busy(ClaimDetails),
    /// It was dispatched, or may have been, by a holder that gave no complete answer.
    Interrupted,
    /// Not dispatched.
    Refuse(ClaimRefusal),
}

impl ClaimResult {
    /// What the caller is told where the result itself answers it; `None` for a dispatch.
    pub fn outcome(&self) -> Option<CallOutcome> {
        match self {
            Self::Dispatch(_) => None,
            Self::Replay(_) => Some(CallOutcome::Completed),
            // The body that came with this request ran nowhere.
            Self::Conflict | Self::Refuse(_) => Some(CallOutcome::NotRun),
            // An earlier attempt with this key and body ran or may have.
            Self::Expired | Self::Busy(_) | Self::Interrupted => Some(CallOutcome::Unknown),
        }
    }

    /// The reason in the refusal's body, for results that refuse.
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
