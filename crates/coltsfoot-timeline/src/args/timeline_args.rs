//! The command line, parsed.

use std::{convert::Infallible, net::SocketAddr, path::PathBuf};

use clap::{Arg, ArgAction, ArgGroup, ArgMatches, Command, value_parser};
use coltsfootroute::{
    id::{NodeId, RequestId},
    name::ServiceName,
};

use super::{OutputFormat, parse_time};
use crate::merge::EventFilter;

/// The command line, parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimelineArgs {
    /// Host listeners of the nodes to ask.
    pub nodes: Vec<SocketAddr>,
    /// Files of JSON lines to read.
    pub files: Vec<PathBuf>,
    /// What to show.
    pub filter: EventFilter,
    /// Form of the output.
    pub format: OutputFormat,
    /// Go on showing new events.
    pub follow: bool,
}

impl TimelineArgs {
    /// The command line's definition.
    pub fn command() -> Command {
        Command::new("coltsfoot-timeline")
            .version(env!("CARGO_PKG_VERSION"))
            .about("Shows the events of all nodes as one time line")
            .after_help(
                "Exit status: 0 complete, 1 error, 2 wrong usage, 3 some nodes did not answer",
            )
            .args(source_args())
            .group(ArgGroup::new("source").args(["node", "file"]).required(true).multiple(true))
            .args(filter_args())
            .args(output_args())
    }

    /// The values of a parsed command line.
    pub fn from_matches(matches: &ArgMatches) -> Self {
        let filter = EventFilter {
            request: matches.get_one("request").copied(),
            service: matches.get_one("service").cloned(),
            hosts: all(matches, "host"),
            from_ms: matches.get_one("from").copied(),
            to_ms: matches.get_one("to").copied(),
        };
        Self {
            nodes: all(matches, "node"),
            files: all(matches, "file"),
            filter,
            format: matches.get_one("format").copied().unwrap_or_default(),
            follow: matches.get_flag("follow"),
        }
    }
}

fn source_args() -> [Arg; 2] {
    [
        Arg::new("node")
            .long("node")
            .value_name("IP:PORT")
            .action(ArgAction::Append)
            .value_parser(value_parser!(SocketAddr))
            .help("Host listener of a node to ask; repeatable"),
        Arg::new("file")
            .long("file")
            .value_name("FILE")
            .action(ArgAction::Append)
            .value_parser(value_parser!(PathBuf))
            .help("File of events as JSON lines; repeatable"),
    ]
}

fn filter_args() -> [Arg; 5] {
    [
        Arg::new("request")
            .long("request")
            .value_name("ID")
            .value_parser(str::parse::<RequestId>)
            .help("Only events of this client request, along its whole chain"),
        Arg::new("service")
            .long("service")
            .value_name("NAME")
            .value_parser(|text: &str| Ok::<_, Infallible>(ServiceName::new(text)))
            .help("Only events that speak of this service"),
        Arg::new("host")
            .long("host")
            .value_name("IP:PORT")
            .action(ArgAction::Append)
            .value_parser(|text: &str| text.parse().map(NodeId))
            .help("Only events of this node, by its peer address as shown; repeatable"),
        Arg::new("from")
            .long("from")
            .value_name("TIME")
            .value_parser(parse_time)
            .help("Only events from this time on (milliseconds since 1970, or RFC 3339 in UTC)"),
        Arg::new("to")
            .long("to")
            .value_name("TIME")
            .value_parser(parse_time)
            .help("Only events before this time"),
    ]
}

fn output_args() -> [Arg; 2] {
    [
        Arg::new("format")
            .long("format")
            .value_name("FORMAT")
            .value_parser(value_parser!(OutputFormat))
            .default_value("text")
            .help("Form of the output"),
        Arg::new("follow")
            .long("follow")
            .action(ArgAction::SetTrue)
            .requires("node")
            .conflicts_with("file")
            .help("Go on showing new events until interrupted; not with SVG"),
    ]
}

fn all<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, id: &str) -> Vec<T> {
    matches.get_many(id).into_iter().flatten().cloned().collect()
}
