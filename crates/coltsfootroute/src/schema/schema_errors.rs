//! All faults of a submitted schema.

use super::SchemaError;
use std::fmt;

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
    /// Orders `errors` by place.
    pub fn new(mut errors: Vec<SchemaError>) -> Self {
        errors.sort_by_key(|error| (error.line, error.column));
        Self { errors }
    }
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
