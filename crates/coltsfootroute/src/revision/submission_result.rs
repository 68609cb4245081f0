//! Outcome of a submission.

use super::{Revision, RevisionRecord, RowFault};
use crate::schema::SchemaDiff;

record_type! {
    /// What became of a submission.
    pub enum SubmissionResult {
        /// Accepted now.
        Accepted(RevisionRecord),
        /// Accepted earlier under the same key, with the same document.
        AlreadyAccepted(RevisionRecord),
        /// Not accepted, and this submission never will be: another came first. Or, where the revision
        /// expected is higher than the newest, it named one that doesn't exist and wrote nothing.
        Conflict {
            /// Record of the newest revision; `None` if there is none yet.
            current: Option<RevisionRecord>,
            /// What was changed between the revision expected and the newest.
            diff: SchemaDiff,
        },
        /// Not accepted: the key stands with another document.
        KeyReused(Revision),
        /// The table service can't be reached; the submission may be repeated with the same key.
        Unresolved {
            /// Whether it may have taken effect, or may still do so.
            may_take_effect: bool,
        },
        /// A row isn't what it should be; nothing was written after it was found.
        Faulty(RowFault),
    }
}
