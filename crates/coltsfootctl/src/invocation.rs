//! One call of the command line.

use clap::ArgMatches;
use clap_complete::Shell;
use coltsfootroute::{
    name::OperatorName,
    revision::{ChainDigest, Revision, SubmissionKey},
};
use std::{net::SocketAddr, time::Duration};

/// Form of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// For people.
    Table,
    /// For programs.
    Json,
}

/// One call of the command line.
#[derive(Clone, Debug)]
pub struct Invocation {
    /// What to do.
    pub action: Action,
    /// Form of the output.
    pub format: OutputFormat,
    /// Longest wait for a node's answer.
    pub timeout: Duration,
}

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
    Diff(DocumentSource, String),
    /// Show a node's state.
    Status(SocketAddr),
    /// Have a node leave.
    Drain(SocketAddr),
    /// Show a node's events.
    Events(SocketAddr),
    /// Print shell completions.
    Completions(Shell),
}

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

/// Shows or verifies a history.
#[derive(Clone, Debug)]
pub struct HistoryAction {
    /// Where it comes from.
    pub source: DocumentSource,
    /// Whether to check the chain of digests.
    pub verify: bool,
    /// Chain digest that the last record must have.
    pub ends_with: Option<ChainDigest>,
}

/// Where a document or history comes from.
#[derive(Clone, Debug)]
pub enum DocumentSource {
    /// A file.
    File(String),
    /// A node.
    Node(SocketAddr),
}

impl Invocation {
    /// Reads what `clap` has checked against [`arguments`](crate::arguments).
    pub fn from_matches(matches: &ArgMatches) -> Self {
        let format = match text(matches, "output").as_str() {
            "json" => OutputFormat::Json,
            _ => OutputFormat::Table,
        };
        let timeout = Duration::from_millis(required(matches, "timeout-ms"));
        Self { action: Action::from_matches(matches), format, timeout }
    }
}

impl Action {
    fn from_matches(matches: &ArgMatches) -> Self {
        let (name, matches) = matches.subcommand().expect("clap requires a subcommand");
        match name {
            "schema" => Self::from_schema(matches),
            "status" => Self::Status(required(matches, "node")),
            "drain" => Self::Drain(required(matches, "node")),
            "events" => Self::Events(required(matches, "node")),
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
            Some(node) => Self::Diff(DocumentSource::Node(*node), text(matches, "first")),
            None => {
                Self::Diff(DocumentSource::File(text(matches, "first")), text(matches, "second"))
            }
        }
    }
}

impl SubmitAction {
    fn from_matches(matches: &ArgMatches) -> Self {
        Self {
            file: text(matches, "file"),
            node: required(matches, "node"),
            expected: required(matches, "expect"),
            operator: OperatorName::new(&text(matches, "operator")),
            key: matches.get_one::<String>("key").map(|key| SubmissionKey::new(key)),
        }
    }
}

impl HistoryAction {
    fn from_matches(matches: &ArgMatches) -> Self {
        let source = match matches.get_one::<SocketAddr>("node") {
            Some(node) => DocumentSource::Node(*node),
            None => DocumentSource::File(text(matches, "file")),
        };
        let ends_with = matches.get_one("ends-with").copied();
        Self { source, verify: matches.get_flag("verify"), ends_with }
    }
}

fn text(matches: &ArgMatches, name: &str) -> String {
    required(matches, name)
}

/// A value that `clap` has checked to be there.
fn required<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches.get_one::<T>(name).cloned().expect("clap requires the argument")
}
