//! What reading a schema's text finds besides the document.

use indexmap::IndexMap;

use super::{SchemaError, source_node::SourceNode};

/// What reading a schema's text finds besides the document.
#[derive(Default)]
pub(super) struct SourceReport {
    /// Faults of form found so far.
    pub errors: Vec<SchemaError>,
    /// Line and column of each field read, by path.
    pub locations: IndexMap<String, (u64, u64)>,
}

impl SourceReport {
    /// Notes a fault of `node`, which stands in `field`.
    pub fn add_error(&mut self, node: &SourceNode, field: String, message: String) {
        self.errors.push(SchemaError { line: node.line, column: node.column, field, message });
    }
}
