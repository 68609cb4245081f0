//! The command line.

use clap::{Arg, ArgAction, Command, value_parser};
use clap_complete::Shell;
use coltsfootroute::revision::{ChainDigest, Revision};
use std::{net::SocketAddr, str::FromStr};

const EXIT_CODES: &str = "Exit codes:
  0  done
  1  something else went wrong
  2  the command line is wrong
  3  the schema is faulty; nothing was changed
  4  another submission came first; nothing was changed
  5  no answer from the node or its table service: repeat the same command
  6  the history can't be trusted
  7  the records shown are intact, but what comes before them isn't at hand";

/// Describes the command line; also the source of the shell completions.
pub fn arguments() -> Command {
    Command::new("coltsfootctl")
        .about("Operates the nodes of an overload control layer")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(output())
        .arg(timeout())
        .subcommand(schema())
        .subcommand(Command::new("status").about("Shows a node's state").arg(node()))
        .subcommand(
            Command::new("drain").about("Has a node leave: it takes no new work").arg(node()),
        )
        .subcommand(Command::new("events").about("Shows a node's last events").arg(node()))
        .subcommand(
            Command::new("digest-key")
                .about("Reads a team's key from standard input and prints its digest"),
        )
        .subcommand(
            Command::new("completions")
                .about("Prints shell completions")
                .arg(Arg::new("shell").required(true).value_parser(value_parser!(Shell))),
        )
}

fn schema() -> Command {
    Command::new("schema")
        .about("Checks, submits and audits the configuration")
        .subcommand_required(true)
        .subcommand(Command::new("check").about("Checks a schema file, offline").arg(file("file")))
        .subcommand(submit())
        .subcommand(Command::new("show").about("Shows the configuration in force").arg(node()))
        .subcommand(history())
        .subcommand(
            Command::new("diff")
                .about("Compares two schema files, or a node's configuration with a file")
                .override_usage(
                    "coltsfootctl schema diff <OLD> <NEW>\n       \
                     coltsfootctl schema diff --node <NODE> <NEW>",
                )
                .arg(file("first"))
                .arg(
                    Arg::new("second")
                        .required_unless_present("node")
                        .conflicts_with("node")
                        .help("Schema file to compare with the first"),
                )
                .arg(node().required(false)),
        )
}

fn submit() -> Command {
    Command::new("submit")
        .about("Submits a schema file in place of a known revision")
        .after_help(
            "The same command may be repeated until it answers: its key is derived from operator, \
             expected revision and document unless --key is given, and is accepted at most once.",
        )
        .arg(file("file"))
        .arg(node())
        .arg(
            Arg::new("expect")
                .long("expect")
                .required(true)
                .value_parser(Revision::from_str)
                .help("Revision that the file is meant to replace; 0 for the first"),
        )
        .arg(
            Arg::new("operator")
                .long("operator")
                .required(true)
                .value_parser(operator_name)
                .help("Who submits; goes into the history"),
        )
        .arg(Arg::new("key").long("key").value_parser(submission_key).help("Idempotency key"))
}

fn history() -> Command {
    Command::new("history")
        .about("Shows who changed the configuration, when and to which digest")
        .arg(node().required(false).required_unless_present("file").conflicts_with("file"))
        .arg(Arg::new("file").long("file").help("History as JSON, as printed by --output json"))
        .arg(
            Arg::new("verify")
                .long("verify")
                .action(ArgAction::SetTrue)
                .help("Checks the chain of digests"),
        )
        .arg(
            Arg::new("contains")
                .long("contains")
                .requires("verify")
                .value_parser(ChainDigest::from_str)
                .help("Chain digest of an earlier audit, which must be part of the history"),
        )
}

fn output() -> Arg {
    Arg::new("output")
        .long("output")
        .global(true)
        .value_parser(["table", "json"])
        .default_value("table")
        .help("Form of the output")
}

fn timeout() -> Arg {
    Arg::new("timeout-ms")
        .long("timeout-ms")
        .global(true)
        .value_parser(value_parser!(u64).range(1..))
        .default_value("10000")
        .help("Longest wait for a node's answer, in milliseconds")
}

fn node() -> Arg {
    Arg::new("node")
        .long("node")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("Host listener of a node, as ip:port")
}

fn file(name: &'static str) -> Arg {
    Arg::new(name).required(true).help("Schema file")
}

fn operator_name(text: &str) -> Result<String, String> {
    let is_fit =
        !text.is_empty() && text.len() <= 64 && text.bytes().all(|byte| byte.is_ascii_graphic());
    if is_fit {
        Ok(text.to_owned())
    } else {
        Err("expected 1 to 64 visible ASCII characters".to_owned())
    }
}

fn submission_key(text: &str) -> Result<String, String> {
    let is_valid = coltsfootroute::revision::SubmissionKey::new(text).is_valid();
    if is_valid {
        Ok(text.to_owned())
    } else {
        Err("expected 1 to 128 visible ASCII characters".to_owned())
    }
}
