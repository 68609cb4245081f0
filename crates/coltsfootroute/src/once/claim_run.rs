//! A request in execution under a claim.

use super::ClaimId;

/// A request that has been dispatched. It can't be copied and is consumed by
/// [`OnceGuard::finish`](super::OnceGuard::finish) or
/// [`OnceGuard::interrupt`](super::OnceGuard::interrupt).
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a run must be finished, interrupted or withdrawn, or its key stays busy"]
pub struct ClaimRun {
    pub(super) claim_id: ClaimId,
}

impl ClaimRun {
    /// Returns the identifier of the claim under which the request runs.
    pub fn claim_id(&self) -> ClaimId {
        self.claim_id
    }
}
