//! Shows or verifies a history.

use super::{InputSource, text};
use clap::ArgMatches;
use coltsfootroute::revision::ChainDigest;
use std::net::SocketAddr;

/// Shows or verifies a history.
#[derive(Clone, Debug)]
pub struct HistoryAction {
    /// Where it comes from.
    pub source: InputSource,
    /// Whether to check the chain of digests.
    pub verify: bool,
    /// Chain digest that the last record must have.
    pub ends_with: Option<ChainDigest>,
}

impl HistoryAction {
    /// Reads what `clap` has checked.
    pub(super) fn from_matches(matches: &ArgMatches) -> Self {
        let source = match matches.get_one::<SocketAddr>("node") {
            Some(node) => InputSource::Node(*node),
            None => InputSource::File(text(matches, "file")),
        };
        let ends_with = matches.get_one("ends-with").copied();
        Self { source, verify: matches.get_flag("verify"), ends_with }
    }
}
