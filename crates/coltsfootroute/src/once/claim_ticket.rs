//! Permission to dispatch.

use std::time::Duration;

use super::{ClaimId, ClaimRun, DispatchVerdict};
use crate::{table::RowVersion, time::MonotonicTime};

/// The permission, won by a claim, to dispatch its request once. It can't be copied and is used up by
/// [`OnceGuard::dispatch`](super::OnceGuard::dispatch) or
/// [`OnceGuard::abandon`](super::OnceGuard::abandon).
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a claim that isn't dispatched must be abandoned, or it blocks the key"]
pub struct ClaimTicket {
    pub(super) claim_id: ClaimId,
    /// Version at which the claim stands in the table.
    pub(super) version: RowVersion,
    pub(super) claimed_at: MonotonicTime,
    pub(super) deadline: MonotonicTime,
}

impl ClaimTicket {
    /// The claim.
    pub fn claim_id(&self) -> ClaimId {
        self.claim_id
    }

    /// The last fence before the upstream: a holder that was paused past its deadline, or for longer than
    /// `longest_age` since it claimed, does not dispatch.
    pub(super) fn dispatch(self, now: MonotonicTime, longest_age: Duration) -> DispatchVerdict {
        if now >= self.deadline || now.since(self.claimed_at) > longest_age {
            return DispatchVerdict::Expired;
        }
        DispatchVerdict::Run(ClaimRun { claim_id: self.claim_id })
    }
}
