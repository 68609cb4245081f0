//! Outcome of a submission.

use super::{Revision, RevisionRecord, RowFault};
use crate::schema::SchemaDiff;

record_type! {
    /// Outcome of a submission.
    pub enum SubmissionResult {
        /// Accepted by this submission.
        Accepted(RevisionRecord),
        /// Accepted earlier under the same key, with the same document.
        AlreadyAccepted(RevisionRecord),
        /// Rejected permanently, because another submission was accepted first. If the expected revision is higher than
        /// the newest, it doesn't exist, and nothing was written.
        Conflict {
            /// Record of the newest revision; `None` if there is none yet.
            current: Option<RevisionRecord>,
            /// Changes from the expected revision to the newest.
            diff: SchemaDiff,
        },
        /// Rejected: the key was used with another document, accepted as this revision.
        KeyReused(Revision),
        /// The table service can't be reached; the submission may be repeated with the same key.
        Unresolved {
            /// Whether it may have taken effect, or may still do so.
            may_take_effect: bool,
        },
        /// A row is missing or invalid. Nothing was written after this was detected.
        Faulty(RowFault),
    }
}
