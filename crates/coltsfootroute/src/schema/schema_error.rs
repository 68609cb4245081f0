//! Single fault of a submitted schema.

use std::fmt;

record_type! {
    /// Fault of a submitted schema, with its location and field.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct SchemaError {
        /// Line in the submitted text, from 1; 0 if the fault has no specific location.
        pub line: u64,
        /// Column in the line, from 1; 0 if the fault has no specific location.
        pub column: u64,
        /// Path of the field, such as `services[0].slots`; empty for the whole document.
        pub field: String,
        /// Description of the fault and of the expected value.
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
