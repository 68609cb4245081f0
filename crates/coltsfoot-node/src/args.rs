//! Command line of the node.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// Exit status for an invalid command line or settings file.
pub const EXIT_BAD_SETTINGS: u8 = 2;

/// Parsed command line of the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeArgs {
    /// Path of the settings file.
    pub settings: PathBuf,
    /// Whether to check the settings and exit.
    pub check: bool,
}

impl NodeArgs {
    /// Returns the definition of the command line.
    pub fn command() -> Command {
        let settings = Arg::new("settings")
            .long("settings")
            .value_name("FILE")
            .required(true)
            .value_parser(value_parser!(PathBuf))
            .help("Settings file (YAML)");
        let check = Arg::new("check")
            .long("check")
            .action(ArgAction::SetTrue)
            .help("Check the settings and exit: status 0 if they are good, 2 if not");
        Command::new("coltsfoot-node")
            .version(env!("CARGO_PKG_VERSION"))
            .about("Overload control beside one upstream")
            .arg(settings)
            .arg(check)
    }

    /// Extracts the values of a parsed command line.
    pub fn from_matches(matches: &ArgMatches) -> Self {
        // `settings` is required, so the parser always sets it.
        let settings = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
        Self { settings, check: matches.get_flag("check") }
    }
}
