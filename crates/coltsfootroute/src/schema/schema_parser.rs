//! Parsing of a submitted schema: checks its size, then its structure, then its semantics.

use super::{
    SchemaDocument, SchemaError, SchemaErrors,
    schema_check::SchemaCheck,
    source_node::{SourceNode, SourceValue},
    source_reader::SourceReader,
    source_report::SourceReport,
};
use indexmap::{IndexMap, IndexSet};

/// Maximum size of a schema's text, in bytes.
pub const MAX_SCHEMA_BYTES: usize = 1 << 20;

/// Maximum nesting depth of mappings and lists; the format itself needs 8.
const MAX_NESTING: usize = 16;
/// Maximum number of YAML alias uses.
const MAX_ALIASES: usize = 4_096;
/// Maximum number of parse events to which all aliases together may expand.
const MAX_ALIAS_EVENTS: usize = 100_000;

impl SchemaDocument {
    /// Parses and checks `text`.
    ///
    /// # Errors
    ///
    /// Returns every structural and semantic fault, each with line, column and field. For a text that isn't YAML or
    /// exceeds a limit, returns the first fault only, since the rest can't be parsed reliably.
    pub fn from_yaml(text: &str) -> Result<Self, SchemaErrors> {
        if text.len() > MAX_SCHEMA_BYTES {
            return Err(size_error(text.len()));
        }
        let root: SourceNode = serde_saphyr::from_str_with_options(text, bounded_options())
            .map_err(|error| syntax_error(&error))?;
        let mut reader = SourceReader::default();
        let document = reader.document(&root);
        let SourceReport { mut errors, locations } = reader.report;
        if matches!(root.value, SourceValue::Map(_)) {
            errors.extend(semantic_errors(&document, &errors, &locations));
        }
        if errors.is_empty() { Ok(document) } else { Err(SchemaErrors::new(errors)) }
    }

    /// Returns the document as YAML text.
    ///
    /// # Panics
    ///
    /// Never: YAML can express everything that a document contains.
    pub fn to_yaml(&self) -> String {
        serde_saphyr::to_string(self).expect("text, numbers and lists are always YAML")
    }
}

/// Returns options that limit the cost of parsing a hostile text and pass duplicate keys on to the reader, which
/// reports them.
fn bounded_options() -> serde_saphyr::Options {
    serde_saphyr::options! {
        budget: serde_saphyr::budget! {
            max_depth: MAX_NESTING,
            max_aliases: MAX_ALIASES,
            max_documents: 1,
        },
        alias_limits: serde_saphyr::alias_limits! {
            max_total_replayed_events: MAX_ALIAS_EVENTS,
        },
        duplicate_keys: serde_saphyr::options::DuplicateKeyPolicy::PassThrough,
        merge_keys: serde_saphyr::options::MergeKeyPolicy::Error,
        strict_booleans: true,
    }
}

fn size_error(len: usize) -> SchemaErrors {
    let message = format!("{len} bytes: expected at most {MAX_SCHEMA_BYTES}");
    SchemaErrors::new(vec![SchemaError { line: 0, column: 0, field: String::new(), message }])
}

fn syntax_error(error: &serde_saphyr::Error) -> SchemaErrors {
    let (line, column) =
        error.location().map_or((0, 0), |location| (location.line(), location.column()));
    let message = error.without_snippet().to_string();
    SchemaErrors::new(vec![SchemaError { line, column, field: String::new(), message }])
}

/// Returns the semantic faults, except those at or within a field with a structural fault, whose value is a
/// placeholder.
fn semantic_errors(
    document: &SchemaDocument,
    structural_errors: &[SchemaError],
    locations: &IndexMap<String, (u64, u64)>,
) -> Vec<SchemaError> {
    let reported: IndexSet<&str> =
        structural_errors.iter().map(|error| error.field.as_str()).collect();
    SchemaCheck::run(document)
        .into_iter()
        .filter(|(field, _)| !enclosing_paths(field).any(|path| reported.contains(path)))
        .map(|(field, message)| locate_error(locations, field, message))
        .collect()
}

/// Returns `field` and the paths of the items that contain it, innermost first, without the document itself.
fn enclosing_paths(field: &str) -> impl Iterator<Item = &str> {
    std::iter::successors(Some(field), |path| path.rfind(['.', '[']).map(|end| &(*path)[..end]))
}

/// Creates an error at the location of the field, or of the nearest enclosing item that the text contains.
fn locate_error(
    locations: &IndexMap<String, (u64, u64)>,
    field: String,
    message: String,
) -> SchemaError {
    let location = enclosing_paths(&field).chain([""]).find_map(|path| locations.get(path));
    let (line, column) = location.copied().unwrap_or_default();
    SchemaError { line, column, field, message }
}
