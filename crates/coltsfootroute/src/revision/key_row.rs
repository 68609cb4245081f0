//! Row of the table service for an idempotency key.

use super::{ContentDigest, Revision};

record_type! {
    /// Revision that the submission with an idempotency key was accepted as. Immutable once written.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct KeyRow {
        /// Revision of the accepted submission.
        pub revision: Revision,
        /// Digest of the submitted document.
        pub content: ContentDigest,
    }
}
