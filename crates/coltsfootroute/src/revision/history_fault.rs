//! Faults that verification of a history finds.

use super::Revision;

value_type! {
    /// Reason for which a history failed verification.
    #[derive(thiserror::Error)]
    pub enum HistoryFault {
        /// A record is missing, duplicated or out of order.
        #[error("expected revision {expected}, found {found}")]
        Gap {
            /// Revision that follows the preceding record.
            expected: Revision,
            /// Revision found.
            found: Revision,
        },
        /// The record doesn't name the preceding record as its parent.
        #[error("revision {0} doesn't follow the record before it")]
        Parent(Revision),
        /// The record's digest doesn't match its fields.
        #[error("revision {0} was changed after it was written")]
        Altered(Revision),
    }
}
