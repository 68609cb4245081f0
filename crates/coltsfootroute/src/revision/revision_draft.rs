//! Input for a new revision record.

use super::{ContentDigest, SubmissionKey};
use crate::name::{OperatorName, ServiceName};

record_type! {
    /// Contents of a new revision record, apart from its position in the hash chain.
    pub struct RevisionDraft {
        /// Digest of the whole configuration.
        pub content: ContentDigest,
        /// Operator who submitted the revision.
        pub operator: OperatorName,
        /// Wall-clock time of the submission, in milliseconds since the Unix epoch.
        pub wall_ms: u64,
        /// Idempotency key of the submission.
        pub key: SubmissionKey,
        /// Services added, changed or removed, sorted by name.
        pub changed: Vec<ServiceName>,
    }
}
