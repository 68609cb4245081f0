//! Next step of a claim.

use super::ClaimResult;
use crate::table::TableRequest;

/// Next step of a claim.
#[derive(Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// Send this request and pass its reply to [`OnceGuard::on_reply`](super::OnceGuard::on_reply).
    Send(TableRequest),
    /// The attempt has ended.
    Done(ClaimResult),
}
