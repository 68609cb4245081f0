//! Step of a claim.

use super::ClaimResult;
use crate::table::TableRequest;

/// What to do next for a claim.
#[derive(Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// Send this request and give its reply back.
    Send(TableRequest),
    /// The attempt has ended.
    Done(ClaimResult),
}
