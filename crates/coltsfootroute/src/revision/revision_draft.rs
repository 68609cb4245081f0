//! What a new record says.

use super::{ContentDigest, SubmissionKey};
use crate::name::{OperatorName, ServiceName};

record_type! {
    /// What a new record says besides its place in the chain.
    pub struct RevisionDraft {
        /// Digest of the whole configuration.
        pub content: ContentDigest,
        /// Who submitted it.
        pub operator: OperatorName,
        /// Wall clock, in milliseconds since the Unix epoch.
        pub wall_ms: u64,
        /// Idempotency key of the submission.
        pub key: SubmissionKey,
        /// Services added, changed or removed, in order of their names.
        pub changed: Vec<ServiceName>,
    }
}
