//! Submits a schema file.

use super::{required, text};
use clap::ArgMatches;
use coltsfootroute::{
    name::OperatorName,
    revision::{Revision, SubmissionKey},
};
use std::net::SocketAddr;

/// Submits a schema file.
#[derive(Clone, Debug)]
pub struct SubmitAction {
    /// The file.
    pub file: String,
    /// Node that takes it.
    pub node: SocketAddr,
    /// Revision that it replaces.
    pub expected: Revision,
    /// Who submits.
    pub operator: OperatorName,
    /// Idempotency key; derived if absent.
    pub key: Option<SubmissionKey>,
}

impl SubmitAction {
    /// Reads what `clap` has checked.
    pub(super) fn from_matches(matches: &ArgMatches) -> Self {
        Self {
            file: text(matches, "file"),
            node: required(matches, "node"),
            expected: required(matches, "expect"),
            operator: OperatorName::new(&text(matches, "operator")),
            key: matches.get_one::<String>("key").map(|key| SubmissionKey::new(key)),
        }
    }
}
