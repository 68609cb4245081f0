//! Body of a configuration.

use super::Revision;
use crate::schema::SchemaDocument;

record_type! {
    /// A configuration and its revision, as the command line shows them.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct DocumentBody {
        /// The revision.
        pub revision: Revision,
        /// The configuration.
        pub document: SchemaDocument,
    }
}
