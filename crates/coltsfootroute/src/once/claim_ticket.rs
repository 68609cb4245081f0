//! Permission to dispatch.

use std::time::Duration;

use super::{ClaimId, ClaimRun, DispatchVerdict};
use crate::{table::RowVersion, time::MonotonicTime};

/// Permission, obtained by a claim, to dispatch its request once. It can't be copied and is consumed by
/// [`OnceGuard::dispatch`](super::OnceGuard::dispatch) or
/// [`OnceGuard::abandon`](super::OnceGuard::abandon).
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a claim that isn't dispatched must be abandoned, or it blocks the key"]
pub struct ClaimTicket {
    pub(super) claim_id: ClaimId,
    /// Version of the row that holds the claim.
    pub(super) version: RowVersion,
    pub(super) claimed_at: MonotonicTime,
    pub(super) deadline: MonotonicTime,
}

impl ClaimTicket {
    /// Returns the identifier of the claim.
    pub fn claim_id(&self) -> ClaimId {
        self.claim_id
    }

    /// Checks the ticket a last time before the request goes to the upstream: a holder that was suspended
    /// past the deadline, or for longer than `longest_age` since the claim, does not dispatch.
    pub(super) fn dispatch(self, now: MonotonicTime, longest_age: Duration) -> DispatchVerdict {
        if now >= self.deadline || now.since(self.claimed_at) > longest_age {
            return DispatchVerdict::Expired;
        }
        DispatchVerdict::Run(ClaimRun { claim_id: self.claim_id })
    }
}
