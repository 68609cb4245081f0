//! What an operator submits.

use super::{Revision, SubmissionKey};
use crate::{name::OperatorName, schema::SchemaDocument};

record_type! {
    /// A new configuration, meant to replace the one at a known revision.
    pub struct SubmissionRequest {
        /// Revision that the operator took for the newest.
        pub expected: Revision,
        /// Who submits.
        pub operator: OperatorName,
        /// Idempotency key.
        pub key: SubmissionKey,
        /// The checked document.
        pub document: SchemaDocument,
        /// Wall clock, in milliseconds since the Unix epoch.
        pub wall_ms: u64,
    }
}
