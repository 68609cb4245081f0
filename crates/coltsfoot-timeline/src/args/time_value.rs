//! A point in time on the command line.

use std::time::UNIX_EPOCH;

/// The text is no point in time.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected milliseconds since 1970 or a time in UTC such as 2026-01-31T09:30:00Z")]
pub struct MalformedTime;

/// Parses a point in time into milliseconds since the Unix epoch.
///
/// # Errors
///
/// [`MalformedTime`] if `text` is neither a whole number of milliseconds nor an RFC 3339 time in UTC.
pub fn parse_time(text: &str) -> Result<u64, MalformedTime> {
    if let Ok(millis) = text.parse() {
        return Ok(millis);
    }
    let time = humantime::parse_rfc3339(text).map_err(|_| MalformedTime)?;
    let elapsed = time.duration_since(UNIX_EPOCH).map_err(|_| MalformedTime)?;
    u64::try_from(elapsed.as_millis()).map_err(|_| MalformedTime)
}
