//! Logging of events: one line of key=value pairs each.

use std::io::{BufWriter, Write};

use coltsfootroute::{
    event::{EventKind, EventLevel, EventRecord},
    outcome::CallOutcome,
};
use log::{Level, LevelFilter};
use simplelog::{Config, ConfigBuilder, WriteLogger};

use crate::settings::LogSettings;

/// Target of the node's own lines. Libraries' lines are not in key=value form and are left out.
pub const LOG_TARGET: &str = "coltsfoot";

/// Bytes of log lines that are written at once at most.
const OUTPUT_BYTES: usize = 16 * 1024;

/// Error if the log has been started before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the log was started already")]
pub struct LoggingError;

/// Starts the process's log on standard output.
///
/// # Errors
///
/// [`LoggingError`] if it was started before.
pub fn start_logging(settings: &LogSettings) -> Result<(), LoggingError> {
    // Standard output passes on whole lines only, so that processes that share one don't tear each other's.
    // The journal's thread flushes whenever it has nothing more to write.
    let output = BufWriter::with_capacity(OUTPUT_BYTES, std::io::stdout());
    // The level that applies is the process's, which a reload of the settings may change.
    let logger = event_logger(&LogSettings { level: LevelFilter::Trace }, output);
    log::set_boxed_logger(logger).map_err(|_| LoggingError)?;
    log::set_max_level(settings.level);
    Ok(())
}

/// Creates a logger that writes only the node's lines, to `output`.
pub fn event_logger<W: Write + Send + 'static>(
    settings: &LogSettings,
    output: W,
) -> Box<WriteLogger<W>> {
    WriteLogger::new(settings.level, line_config(), output)
}

/// Returns whether the log level in force includes the record.
pub(super) fn is_logged(record: &EventRecord) -> bool {
    log::log_enabled!(target: LOG_TARGET, record_level(record))
}

/// Logs one record, at the level of its kind.
pub(super) fn log_record(record: &EventRecord) {
    let level = record_level(record);
    let name = level_name(level);
    log::log!(target: LOG_TARGET, level, "level={name} {}", record.to_key_values());
}

/// Returns the level of a record's kind; that of a failed attempt is raised to that of its request.
fn record_level(record: &EventRecord) -> Level {
    match &record.kind {
        EventKind::AttemptFinished { outcome, .. } if *outcome != CallOutcome::Completed => {
            Level::Info
        }
        kind => log_level(kind.level()),
    }
}

/// Logs that the events from `expected` up to `next` were dropped.
pub(super) fn log_dropped(next: &EventRecord, expected: u64) {
    log::warn!(
        target: LOG_TARGET,
        "level=warn event=events-dropped first={expected} next={} node={} life={} stamp={}",
        next.sequence, next.node, next.incarnation, next.stamp
    );
}

/// Logs how many lines were left out since the last such line.
pub(super) fn log_left_out(failures: u64, successes: u64) {
    log::warn!(
        target: LOG_TARGET,
        "level=warn event=lines-left-out failures={failures} successes={successes}"
    );
}

/// Returns a configuration in which simplelog adds nothing to a line, since the line is complete.
fn line_config() -> Config {
    ConfigBuilder::new()
        .set_max_level(LevelFilter::Off)
        .set_time_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str(LOG_TARGET)
        .build()
}

fn log_level(level: EventLevel) -> Level {
    match level {
        EventLevel::Error => Level::Error,
        EventLevel::Warn => Level::Warn,
        EventLevel::Info => Level::Info,
        EventLevel::Debug => Level::Debug,
    }
}

fn level_name(level: Level) -> &'static str {
    match level {
        Level::Error => "error",
        Level::Warn => "warn",
        Level::Info => "info",
        Level::Debug => "debug",
        Level::Trace => "trace",
    }
}
