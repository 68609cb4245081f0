//! Events from a file of JSON lines.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use coltsfootroute::event::{EventLineError, EventRecord};

use crate::output::is_gap_line;

/// A file of events that can't be read.
#[derive(Debug, thiserror::Error)]
pub enum EventFileError {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A line is no event.
    #[error("{path}: line {line}: {source}")]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Number of the line, from 1.
        line: usize,
        /// Why.
        source: EventLineError,
    },
}

/// Reads the events of a file; empty lines and the gap lines of an earlier output are passed over.
///
/// # Errors
///
/// [`EventFileError`] if the file can't be read or a line is neither.
pub fn read_events(path: &Path) -> Result<Vec<EventRecord>, EventFileError> {
    let unreadable = |source| EventFileError::Unreadable { path: path.to_owned(), source };
    let text = fs::read_to_string(path).map_err(unreadable)?;
    let lines = text.lines().enumerate();
    lines
        .filter(|(_, line)| !line.trim().is_empty() && !is_gap_line(line))
        .map(|(index, line)| {
            let malformed = |source| EventFileError::Malformed {
                path: path.to_owned(),
                line: index + 1,
                source,
            };
            EventRecord::from_json(line).map_err(malformed)
        })
        .collect()
}
