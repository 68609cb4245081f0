//! What a node logs.

use log::LevelFilter;

use super::field_reader::FieldReader;

/// What a node logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Least severe level written. Events of single requests are `debug`.
    pub level: LevelFilter,
}

impl LogSettings {
    pub(super) fn read(reader: &mut FieldReader<'_>) -> Self {
        let level = reader.optional("level").unwrap_or(LevelFilter::Info);
        Self { level }
    }
}
