//! Running what the command line asks for.

use std::{fs, io::Write, path::Path};

use anyhow::Context as _;

use crate::{
    arguments::SlopeArguments,
    report::{MeasuredSlope, draw},
    slopes,
};

/// Runs the measurement asked for, or lists all.
///
/// # Errors
///
/// If the measurement fails, or its files can't be written.
pub fn run(arguments: &SlopeArguments, output: &mut impl Write) -> anyhow::Result<()> {
    for slope in slopes_of(arguments, output)? {
        write!(output, "{}", slope.to_lines())?;
        if let Some(directory) = &arguments.out {
            write_files(&slope, directory)?;
        }
    }
    Ok(())
}

fn slopes_of(
    arguments: &SlopeArguments,
    output: &mut impl Write,
) -> anyhow::Result<Vec<MeasuredSlope>> {
    if let Some(file) = &arguments.csv {
        let name = file.file_stem().context("a file name")?.to_string_lossy();
        let slope = MeasuredSlope::from_csv(&name, &fs::read_to_string(file)?);
        return Ok(vec![slope.context("not a table of points")?]);
    }
    let Some(wanted) = &arguments.name else {
        for (name, about) in slopes::subjects() {
            writeln!(output, "{name}: {about}")?;
        }
        return Ok(Vec::new());
    };
    slopes::measure(wanted)
}

fn write_files(slope: &MeasuredSlope, directory: &Path) -> anyhow::Result<()> {
    fs::create_dir_all(directory)?;
    fs::write(directory.join(format!("{}.csv", slope.name)), slope.to_csv())?;
    fs::write(directory.join(format!("{}.svg", slope.name)), draw(slope)?)?;
    Ok(())
}
