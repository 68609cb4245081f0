//! Faults of a history.

use super::Revision;

value_type! {
    /// Why a history can't be trusted.
    #[derive(thiserror::Error)]
    pub enum HistoryFault {
        /// A record is missing, doubled or out of order.
        #[error("expected revision {expected}, found {found}")]
        Gap {
            /// Revision that follows from the record before.
            expected: Revision,
            /// Revision found.
            found: Revision,
        },
        /// The record doesn't name the one before it as its parent.
        #[error("revision {0} doesn't follow the record before it")]
        Parent(Revision),
        /// The record's fields don't give its digest.
        #[error("revision {0} was changed after it was written")]
        Altered(Revision),
    }
}
