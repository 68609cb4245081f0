//! Reasons for which a document or delta is rejected.

use super::Revision;

value_type! {
    /// Reason for which a document or delta was rejected. The state is unchanged.
    #[derive(thiserror::Error)]
    pub enum DeltaFault {
        /// The delta starts after the revision held. Remedy: request a delta from the revision held.
        #[error("delta from revision {from} doesn't fit revision {held}")]
        Gap {
            /// Revision that the delta starts from.
            from: Revision,
            /// Revision held.
            held: Revision,
        },
        /// The resulting content doesn't match the record. Remedy: request a full snapshot.
        #[error("content doesn't match the record of revision {0}")]
        Content(Revision),
        /// The record's digest doesn't match its fields.
        #[error("record of revision {0} isn't intact")]
        Record(Revision),
        /// The record has the same revision as the one held, or the next, but belongs to another hash chain: the
        /// history was tampered with or the table service lost writes. The system never resolves this by itself.
        #[error("record of revision {0} belongs to another history")]
        Diverged(Revision),
    }
}
