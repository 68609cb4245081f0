//! Row of the newest revision.

use super::{ChainDigest, Revision, SubmissionKey};

record_type! {
    /// The newest revision.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct HeadRow {
        /// The revision.
        pub revision: Revision,
        /// Chain digest of its record.
        pub chain: ChainDigest,
        /// Idempotency key of its submission.
        pub key: SubmissionKey,
    }
}
