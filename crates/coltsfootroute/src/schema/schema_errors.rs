//! All faults of a submitted schema.

use super::SchemaError;
use std::fmt;

/// Most faults listed in one answer; a hostile text may hold a fault in every few bytes.
pub const MAX_SCHEMA_ERRORS: usize = 1_000;

record_type! {
    /// Every fault found in a submitted schema; nothing was changed. Body of the answer to a submission
    /// that is refused for its content.
    ///
    /// Invariant: at least one fault, in order of their places.
    #[derive(serde::Serialize, serde::Deserialize, thiserror::Error)]
    #[serde(deny_unknown_fields)]
    pub struct SchemaErrors {
        /// The faults, in order of line and column.
        pub errors: Vec<SchemaError>,
    }
}

impl SchemaErrors {
    /// Orders `errors` by place; beyond [`MAX_SCHEMA_ERRORS`] a last entry counts the rest.
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
