//! Result of the last check before dispatch.

use super::ClaimRun;

/// Whether a claimed request may go to the upstream.
#[derive(Debug, PartialEq, Eq)]
pub enum DispatchVerdict {
    /// Send the request now.
    Run(ClaimRun),
    /// The ticket has expired: refuse the request as not run. The claim is being released.
    Expired,
}
