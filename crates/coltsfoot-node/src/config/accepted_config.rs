//! A configuration that another system has accepted.

use coltsfootroute::{
    name::OperatorName,
    revision::{ContentDigest, Revision, RevisionRecord},
    schema::SchemaDocument,
};

/// A configuration that another system has accepted.
#[derive(Clone, Debug)]
pub struct AcceptedConfig {
    /// Record of the revision.
    pub record: RevisionRecord,
    /// The configuration.
    pub document: SchemaDocument,
}

impl AcceptedConfig {
    /// `document` as `operator` had it accepted at `revision`.
    pub fn new(revision: Revision, operator: OperatorName, document: SchemaDocument) -> Self {
        let content = ContentDigest::of_document(&document);
        Self { record: RevisionRecord::of_external(revision, content, operator), document }
    }
}
