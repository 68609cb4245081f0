//! Logging of events: one line of key=value pairs each.

use std::io::{LineWriter, Write};

use coltsfootroute::event::{EventLevel, EventRecord};
use log::{Level, LevelFilter};
use simplelog::{Config, ConfigBuilder, WriteLogger};

use crate::settings::LogSettings;

/// Target of the node's own lines. Libraries' lines are not in key=value form and are left out.
pub const LOG_TARGET: &str = "coltsfoot";

/// The log was started already.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the log was started already")]
pub struct LoggingError;

/// Starts the process's log on standard error.
///
/// # Errors
///
/// [`LoggingError`] if it was started before.
pub fn start_logging(settings: &LogSettings) -> Result<(), LoggingError> {
    // Whole lines are written at once: processes that share an output don't tear each other's.
    let output = LineWriter::new(std::io::stderr());
    // The level that applies is the process's, which a reload of the settings may change.
    let logger = event_logger(&LogSettings { level: LevelFilter::Trace }, output);
    log::set_boxed_logger(logger).map_err(|_| LoggingError)?;
    log::set_max_level(settings.level);
    Ok(())
}

/// A logger that writes the node's lines to `output` and nothing else.
pub fn event_logger<W: Write + Send + 'static>(
    settings: &LogSettings,
    output: W,
) -> Box<WriteLogger<W>> {
    WriteLogger::new(settings.level, line_config(), output)
}

/// Logs one record, at the level of its kind.
pub(super) fn log_record(record: &EventRecord) {
    let level = log_level(record.kind.level());
    if log::log_enabled!(target: LOG_TARGET, level) {
        let name = level_name(level);
        log::log!(target: LOG_TARGET, level, "level={name} {}", record.to_key_values());
    }
}

/// Logs that the events from `expected` up to `next` were dropped.
pub(super) fn log_dropped(next: &EventRecord, expected: u64) {
    log::warn!(
        target: LOG_TARGET,
        "level=warn event=events-dropped first={expected} next={} node={} life={} stamp={}",
        next.sequence, next.node, next.life, next.stamp
    );
}

/// The line holds everything itself, so that simplelog adds nothing that isn't a pair.
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
