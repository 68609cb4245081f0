//! What reading a schema's text finds besides the document.

use indexmap::IndexMap;

use super::SchemaError;

/// What reading a schema's text finds besides the document.
#[derive(Default)]
pub(super) struct SourceNotes {
    /// Faults of form found so far.
    pub errors: Vec<SchemaError>,
    /// Line and column of each field read, by path.
    pub places: IndexMap<String, (u64, u64)>,
}
