//! The command line, parsed.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, builder::PossibleValuesParser, value_parser};

use crate::slopes;

/// The command line, parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlopeArguments {
    /// The measurement to run; `None` lists them.
    pub name: Option<String>,
    /// A file of points to fit and draw instead.
    pub csv: Option<PathBuf>,
    /// Directory for the CSV and SVG files; `None` writes none.
    pub out: Option<PathBuf>,
}

impl SlopeArguments {
    /// The command line's definition.
    pub fn command() -> Command {
        let name = Arg::new("name")
            .value_name("NAME")
            .value_parser(PossibleValuesParser::new(slopes::names()))
            .help("Measurement to run; without it they are listed");
        let csv = Arg::new("csv")
            .long("csv")
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .conflicts_with("name")
            .help("Points measured elsewhere, to fit and draw");
        let out = Arg::new("out")
            .long("out")
            .value_name("DIRECTORY")
            .value_parser(value_parser!(PathBuf))
            .help("Where to write a CSV and an SVG file for each slope");
        Command::new("coltsfoot-slopes")
            .about("Measures the costs of the library as functions of the size of a deployment")
            .args([name, csv, out])
    }

    /// Takes what was parsed.
    pub fn from_matches(matches: &ArgMatches) -> Self {
        let path = |name| matches.get_one(name).cloned();
        Self { name: matches.get_one("name").cloned(), csv: path("csv"), out: path("out") }
    }
}
