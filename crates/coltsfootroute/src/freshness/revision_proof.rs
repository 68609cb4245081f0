//! Proof that a revision was the newest at some time.

use super::StoreTime;
use crate::revision::Revision;

value_type! {
    /// Proof that no revision was newer than `revision` when the store's clock showed `at`.
    pub struct RevisionProof {
        /// The revision.
        pub revision: Revision,
        /// Time of the store's clock at which no newer revision existed.
        pub at: StoreTime,
    }
}
