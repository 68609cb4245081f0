//! Row of an idempotency key.

use super::{ContentDigest, Revision};

record_type! {
    /// Where the submission with a key was accepted. Never changed once written.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct KeyRow {
        /// Its revision.
        pub revision: Revision,
        /// Digest of the document submitted.
        pub content: ContentDigest,
    }
}
