//! Faults of a document or delta that can't be applied.

use super::Revision;

value_type! {
    /// Why a document or delta was refused; the state is as before.
    #[derive(thiserror::Error)]
    pub enum DeltaFault {
        /// The delta starts after the revision held: ask for one from there.
        #[error("delta from revision {from} doesn't fit revision {held}")]
        Gap {
            /// Revision that the delta starts from.
            from: Revision,
            /// Revision held.
            held: Revision,
        },
        /// The content that would result isn't that of the record: ask for a full snapshot.
        #[error("content doesn't match the record of revision {0}")]
        Content(Revision),
        /// The record's fields don't give its digest.
        #[error("record of revision {0} isn't intact")]
        Record(Revision),
        /// The record stands at a revision held, or follows one, but in another chain: the history was
        /// tampered with or the table service lost writes. Never resolved by the system itself.
        #[error("record of revision {0} belongs to another history")]
        Diverged(Revision),
    }
}
