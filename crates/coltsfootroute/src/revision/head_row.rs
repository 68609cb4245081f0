//! Row of the table service that names the newest revision.

use super::{ChainDigest, Revision, SubmissionKey};

record_type! {
    /// Reference to the newest revision.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct HeadRow {
        /// Number of the revision.
        pub revision: Revision,
        /// Chain digest of the revision's record.
        pub chain: ChainDigest,
        /// Idempotency key of the revision's submission.
        pub key: SubmissionKey,
    }
}
