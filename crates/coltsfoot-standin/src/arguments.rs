//! What the command lines of the stand-ins share.

use std::{fs, path::PathBuf};

use anyhow::Context;
use clap::{Arg, ArgMatches, value_parser};
use coltsfootroute::schema::SchemaDocument;

/// An option `--name`.
pub fn option(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help)
}

/// The option `--schema`.
pub fn schema_option() -> Arg {
    option("schema", "Schema file").required(true).value_parser(value_parser!(PathBuf))
}

/// The value of an option that is required or has a default.
///
/// # Errors
/// Where it is absent all the same.
pub fn take<'a, T>(arguments: &'a ArgMatches, name: &str) -> anyhow::Result<&'a T>
where
    T: Clone + Send + Sync + 'static,
{
    arguments.get_one(name).with_context(|| format!("--{name} is missing"))
}

/// All values of an option that may be given several times.
pub fn take_all<T>(arguments: &ArgMatches, name: &str) -> Vec<T>
where
    T: Clone + Send + Sync + 'static,
{
    arguments.get_many(name).into_iter().flatten().cloned().collect()
}

/// Reads the file that `--schema` names.
///
/// # Errors
/// Where it can't be read or is no schema.
pub fn read_schema(arguments: &ArgMatches) -> anyhow::Result<SchemaDocument> {
    let path: &PathBuf = take(arguments, "schema")?;
    let text = fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))?;
    SchemaDocument::from_yaml(&text).with_context(|| format!("parsing {}", path.display()))
}
