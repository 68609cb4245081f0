//! Faults and locations found while reading a schema's text.

use indexmap::IndexMap;

use super::{SchemaError, source_node::SourceNode};

/// Faults and locations found while reading a schema's text.
#[derive(Default)]
pub(super) struct SourceReport {
    /// Structural faults found.
    pub errors: Vec<SchemaError>,
    /// Line and column of each field read, by path.
    pub locations: IndexMap<String, (u64, u64)>,
}

impl SourceReport {
    /// Adds a fault of `node`, which is the value or key of `field`.
    pub fn add_error(&mut self, node: &SourceNode, field: String, message: String) {
        self.errors.push(SchemaError { line: node.line, column: node.column, field, message });
    }
}
