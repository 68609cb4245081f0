//! Collection of all faults of a submitted schema.

use super::SchemaError;
use std::fmt;

/// Maximum number of faults listed in one response; a hostile text may contain a fault every few bytes.
pub const MAX_SCHEMA_ERRORS: usize = 1_000;

record_type! {
    /// Every fault found in a submitted schema, which was not applied. Body of the response to a submission that is
    /// rejected for its content.
    ///
    /// Invariant: at least one fault, in order of location.
    #[derive(serde::Serialize, serde::Deserialize, thiserror::Error)]
    #[serde(deny_unknown_fields)]
    pub struct SchemaErrors {
        /// Faults, in order of line and column.
        pub errors: Vec<SchemaError>,
    }
}

impl SchemaErrors {
    /// Sorts `errors` by location. If there are more than [`MAX_SCHEMA_ERRORS`], a last entry states the number of
    /// unlisted ones.
    pub fn new(mut errors: Vec<SchemaError>) -> Self {
        errors.sort_by_key(|error| (error.line, error.column));
        let rest = errors.len().saturating_sub(MAX_SCHEMA_ERRORS);
        errors.truncate(MAX_SCHEMA_ERRORS);
        if rest > 0 {
            errors.push(unlisted_errors(rest));
        }
        Self { errors }
    }
}

fn unlisted_errors(rest: usize) -> SchemaError {
    let message = format!("{rest} further faults are not listed");
    SchemaError { line: 0, column: 0, field: String::new(), message }
}

impl fmt::Display for SchemaErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.errors.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            error.fmt(f)?;
        }
        Ok(())
    }
}
