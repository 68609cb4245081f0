//! Verdict of the last fence.

use super::ClaimRun;

/// Whether a claimed request may go to the upstream.
#[derive(Debug, PartialEq, Eq)]
pub enum DispatchVerdict {
    /// Send it now.
    Run(ClaimRun),
    /// Too late: refuse it as not run. The claim is being released.
    Expired,
}
