//! Submission of a new configuration by an operator.

use super::{Revision, SubmissionKey};
use crate::{name::OperatorName, schema::SchemaDocument};

record_type! {
    /// New configuration that is to replace the one at an expected revision.
    pub struct SubmissionRequest {
        /// Revision that the operator expects to be the newest.
        pub expected: Revision,
        /// Operator who submits the configuration.
        pub operator: OperatorName,
        /// Idempotency key.
        pub key: SubmissionKey,
        /// Validated document.
        pub document: SchemaDocument,
        /// Wall-clock time of the submission, in milliseconds since the Unix epoch.
        pub wall_ms: u64,
    }
}
