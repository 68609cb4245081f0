//! The command `coltsfootctl`.

use coltsfootctl::{Invocation, Report, arguments, run};
use std::{
    io::{self, Write},
    process,
};

fn main() -> anyhow::Result<()> {
    let matches = arguments().get_matches();
    let invocation = Invocation::from_matches(&matches);
    let report = run(&invocation).unwrap_or_else(|error| Report::of_error(&invocation, &error));
    io::stdout().lock().write_all(report.output.as_bytes())?;
    io::stderr().lock().write_all(report.complaint.as_bytes())?;
    process::exit(report.code.number())
}
