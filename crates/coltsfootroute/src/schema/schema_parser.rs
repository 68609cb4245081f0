//! Parsing of a submitted schema.

use super::{SchemaDocument, SchemaError, SchemaErrors};

/// Largest text of a schema, in bytes.
pub const MAX_SCHEMA_BYTES: usize = 1 << 20;

impl SchemaDocument {
    /// Parses `text`.
    ///
    /// # Errors
    ///
    /// Every fault found, with its place.
    pub fn from_yaml(text: &str) -> Result<Self, SchemaErrors> {
        if text.len() > MAX_SCHEMA_BYTES {
            return Err(oversize(text.len()));
        }
        serde_saphyr::from_str_with_options(text, bounded_options()).map_err(|error| syntax(&error))
    }
}

/// Options that bound what a hostile text can cost: nesting and aliases.
fn bounded_options() -> serde_saphyr::Options {
    serde_saphyr::options! {
        budget: serde_saphyr::budget! {
            max_depth: 16,
            max_aliases: 0,
            max_documents: 1,
        },
        duplicate_keys: serde_saphyr::options::DuplicateKeyPolicy::Error,
        strict_booleans: true,
    }
}

fn oversize(len: usize) -> SchemaErrors {
    let message = format!("{len} bytes: expected at most {MAX_SCHEMA_BYTES}");
    SchemaErrors::new(vec![SchemaError { line: 0, column: 0, field: String::new(), message }])
}

fn syntax(error: &serde_saphyr::Error) -> SchemaErrors {
    let (line, column) = error.location().map_or((0, 0), |place| (place.line(), place.column()));
    let message = error.without_snippet().to_string();
    SchemaErrors::new(vec![SchemaError { line, column, field: String::new(), message }])
}
