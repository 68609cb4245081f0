//! What to do.

use super::{HistoryAction, InputSource, SubmitAction, required, text};
use clap::ArgMatches;
use clap_complete::Shell;
use std::net::SocketAddr;

/// What to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Check a schema file.
    Check(String),
    /// Submit a schema file.
    Submit(SubmitAction),
    /// Show a node's configuration.
    Show(SocketAddr),
    /// Show or verify a history.
    History(HistoryAction),
    /// Compare two schemas.
    Diff(InputSource, String),
    /// Show a node's state.
    Status(SocketAddr),
    /// Have a node leave.
    Drain(SocketAddr),
    /// Show a node's events.
    Events(SocketAddr),
    /// Print the digest of a key.
    DigestKey,
    /// Print shell completions.
    Completions(Shell),
}

impl Action {
    /// Reads what `clap` has checked.
    pub(super) fn from_matches(matches: &ArgMatches) -> Self {
        let (name, matches) = matches.subcommand().expect("clap requires a subcommand");
        match name {
            "schema" => Self::from_schema(matches),
            "status" => Self::Status(required(matches, "node")),
            "drain" => Self::Drain(required(matches, "node")),
            "events" => Self::Events(required(matches, "node")),
            "digest-key" => Self::DigestKey,
            _ => Self::Completions(required(matches, "shell")),
        }
    }

    fn from_schema(matches: &ArgMatches) -> Self {
        let (name, matches) = matches.subcommand().expect("clap requires a subcommand");
        match name {
            "check" => Self::Check(text(matches, "file")),
            "submit" => Self::Submit(SubmitAction::from_matches(matches)),
            "show" => Self::Show(required(matches, "node")),
            "history" => Self::History(HistoryAction::from_matches(matches)),
            _ => Self::diff(matches),
        }
    }

    fn diff(matches: &ArgMatches) -> Self {
        match matches.get_one::<SocketAddr>("node") {
            Some(node) => Self::Diff(InputSource::Node(*node), text(matches, "first")),
            None => Self::Diff(InputSource::File(text(matches, "first")), text(matches, "second")),
        }
    }
}
