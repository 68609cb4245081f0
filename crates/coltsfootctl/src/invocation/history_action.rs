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
    /// Chain digest that must be part of the history.
    pub contains: Option<ChainDigest>,
}

impl HistoryAction {
    /// Reads what `clap` has checked.
    pub(super) fn from_matches(matches: &ArgMatches) -> Self {
        let source = match matches.get_one::<SocketAddr>("node") {
            Some(node) => InputSource::Node(*node),
            None => InputSource::File(text(matches, "file")),
        };
        let contains = matches.get_one("contains").copied();
        Self { source, verify: matches.get_flag("verify"), contains }
    }
}
