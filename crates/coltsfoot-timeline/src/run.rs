//! The command.

use std::{
    io::{self, ErrorKind, Write},
    time::Duration,
};

use crate::{
    args::{OutputFormat, TimelineArgs},
    collect::{CollectedRound, EventCollector, read_events},
    merge::{FollowBuffer, MergedTimeline, TimelineEntry},
    output::{SvgPicture, json_line, text_line},
};

/// Pause between two rounds while following.
const FOLLOW_PAUSE: Duration = Duration::from_millis(500);

/// How the command ended, where it did not fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunStatus {
    /// Everything asked for was collected.
    Complete,
    /// Some nodes did not answer; the rest is shown.
    Partial,
}

impl RunStatus {
    /// The process's exit status.
    pub fn exit_code(self) -> u8 {
        match self {
            Self::Complete => 0,
            Self::Partial => 3,
        }
    }
}

/// Runs the command: the time line goes to `output`, what went wrong on the way to `errors`.
///
/// # Errors
///
/// A file that can't be read, a picture that can't be drawn, or output that can't be written; a reader
/// that has closed the pipe is no error.
pub async fn run(
    args: &TimelineArgs,
    output: impl Write,
    errors: impl Write,
) -> anyhow::Result<RunStatus> {
    let result = match args.follow {
        true if args.format == OutputFormat::Svg => {
            anyhow::bail!("--follow takes --format text or json")
        }
        true => follow(args, output, errors).await,
        false => show(args, output, errors).await,
    };
    match result {
        Err(error) if is_closed_pipe(&error) => Ok(RunStatus::Complete),
        result => result,
    }
}

async fn show(
    args: &TimelineArgs,
    mut output: impl Write,
    errors: impl Write,
) -> anyhow::Result<RunStatus> {
    let round = EventCollector::new(&args.nodes).collect_round().await;
    let status = report_failures(&round, errors)?;
    let mut records = round.records;
    for file in &args.files {
        records.extend(read_events(file)?);
    }
    let timeline = MergedTimeline::new(records);
    let entries = timeline.entries(&args.filter);
    match args.format {
        OutputFormat::Svg => {
            let hosts = timeline.records().iter().map(|record| record.node);
            let hosts = hosts.filter(|node| args.filter.admits_host(*node));
            let picture = SvgPicture::new(&entries, hosts);
            let picture = picture.with_joined_events(args.filter.request.is_some());
            output.write_all(picture.draw()?.as_bytes())?;
        }
        format => write_lines(&entries, format, &mut output)?,
    }
    output.flush()?;
    Ok(status)
}

/// Never ends but by an error or a closed pipe.
async fn follow(
    args: &TimelineArgs,
    mut output: impl Write,
    mut errors: impl Write,
) -> anyhow::Result<RunStatus> {
    let mut collector = EventCollector::new(&args.nodes);
    let mut buffer = FollowBuffer::new();
    loop {
        let round = collector.collect_round().await;
        report_failures(&round, &mut errors)?;
        let entries = buffer.push_round(round.records, &args.filter);
        write_lines(&entries, args.format, &mut output)?;
        output.flush()?;
        tokio::time::sleep(FOLLOW_PAUSE).await;
    }
}

fn write_lines(
    entries: &[TimelineEntry],
    format: OutputFormat,
    output: &mut impl Write,
) -> io::Result<()> {
    for entry in entries {
        let line = match format {
            OutputFormat::Json => json_line(entry),
            OutputFormat::Text | OutputFormat::Svg => text_line(entry),
        };
        writeln!(output, "{line}")?;
    }
    Ok(())
}

fn report_failures(round: &CollectedRound, mut errors: impl Write) -> io::Result<RunStatus> {
    for (node, error) in &round.failures {
        writeln!(
            errors,
            "level=warn event=node-not-read node={node} error={:?}",
            error.to_string()
        )?;
    }
    let is_complete = round.failures.is_empty();
    Ok(if is_complete { RunStatus::Complete } else { RunStatus::Partial })
}

fn is_closed_pipe(error: &anyhow::Error) -> bool {
    let io = error.downcast_ref::<io::Error>();
    io.is_some_and(|error| error.kind() == ErrorKind::BrokenPipe)
}
