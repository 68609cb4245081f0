//! Response body with a configuration and its revision.

use super::Revision;
use crate::schema::SchemaDocument;

record_type! {
    /// Configuration and its revision, as the command line shows them.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct DocumentBody {
        /// Revision of the configuration.
        pub revision: Revision,
        /// Content of the configuration.
        pub document: SchemaDocument,
    }
}
