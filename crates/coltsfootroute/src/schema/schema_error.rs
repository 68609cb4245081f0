//! One fault of a submitted schema.

use std::fmt;

record_type! {
    /// A fault of a submitted schema, where it stands and what it concerns.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct SchemaError {
        /// Line in the submitted text, from 1; 0 where the fault has no place of its own.
        pub line: u64,
        /// Column in the line, from 1; 0 where the fault has no place of its own.
        pub column: u64,
        /// Path of the field, such as `services[0].slots`; empty for the whole document.
        pub field: String,
        /// What is wrong and what is expected.
        pub message: String,
    }
}

impl fmt::Display for SchemaError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, column {}: ", self.line, self.column)?;
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.message)
    }
}
