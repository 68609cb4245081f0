//! Parsing of a submitted schema: size, form, then meaning.

use super::{
    SchemaDocument, SchemaError, SchemaErrors,
    schema_check::SchemaCheck,
    source_node::{SourceNode, SourceValue},
    source_reader::SourceReader,
    source_report::SourceReport,
};
use indexmap::{IndexMap, IndexSet};

/// Largest text of a schema, in bytes.
pub const MAX_SCHEMA_BYTES: usize = 1 << 20;

/// Deepest nesting of mappings and lists; the format itself needs 8.
const MAX_NESTING: usize = 16;
/// Most uses of YAML aliases.
const MAX_ALIASES: usize = 4_096;
/// Most parse events that all aliases together may expand to.
const MAX_ALIAS_EVENTS: usize = 100_000;

impl SchemaDocument {
    /// Parses and checks `text`.
    ///
    /// # Errors
    ///
    /// Every fault of form and meaning, each with line, column and field. A text that isn't YAML, or is
    /// beyond the bounds, gives the first fault only: nothing after it can be trusted.
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

    /// The document as YAML text.
    ///
    /// # Panics
    ///
    /// Never: a document holds nothing that YAML can't express.
    pub fn to_yaml(&self) -> String {
        serde_saphyr::to_string(self).expect("text, numbers and lists are always YAML")
    }
}

/// Options that bound what a hostile text can cost, and leave duplicate keys to the reader.
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

/// Faults of meaning, but for those at or within a field whose form is wrong: its value is a stand-in.
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

/// `field` and the paths of what contains it, innermost first, without the document itself.
fn enclosing_paths(field: &str) -> impl Iterator<Item = &str> {
    std::iter::successors(Some(field), |path| path.rfind(['.', '[']).map(|end| &(*path)[..end]))
}

/// Gives a fault its place: that of the field, or of the nearest thing around it that the text holds.
fn locate_error(
    locations: &IndexMap<String, (u64, u64)>,
    field: String,
    message: String,
) -> SchemaError {
    let location = enclosing_paths(&field).chain([""]).find_map(|path| locations.get(path));
    let (line, column) = location.copied().unwrap_or_default();
    SchemaError { line, column, field, message }
}
