//! Configurations accepted by a system other than the nodes.

use coltsfootroute::{
    name::OperatorName,
    revision::{ContentDigest, Revision, RevisionRecord},
    schema::SchemaDocument,
};

/// A configuration accepted by a system other than the nodes.
#[derive(Clone, Debug)]
pub struct AcceptedConfig {
    /// Record of the revision.
    pub record: RevisionRecord,
    /// Schema of the revision.
    pub document: SchemaDocument,
}

impl AcceptedConfig {
    /// Creates a configuration from `document`, which `operator` submitted and another system accepted as `revision`.
    pub fn new(revision: Revision, operator: OperatorName, document: SchemaDocument) -> Self {
        let content = ContentDigest::of_document(&document);
        Self { record: RevisionRecord::of_external(revision, content, operator), document }
    }
}
