//! The node's command line.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// Exit status for a command line or settings file that is wrong.
pub const EXIT_BAD_SETTINGS: u8 = 2;

/// The node's command line, parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeArgs {
    /// Settings file.
    pub settings: PathBuf,
    /// Check the settings and exit.
    pub check: bool,
}

impl NodeArgs {
    /// The command line's definition.
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

    /// The values of a parsed command line.
    pub fn from_matches(matches: &ArgMatches) -> Self {
        // `settings` is required, so the parser never leaves it out.
        let settings = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
        Self { settings, check: matches.get_flag("check") }
    }
}
