//! What an answer of the store proves of the newest revision.

use super::StoreTime;
use crate::revision::Revision;

value_type! {
    /// When the store's clock showed `at`, no revision was newer than `revision`.
    pub struct RevisionProof {
        /// The revision.
        pub revision: Revision,
        /// When it was the newest, or already overtaken by none.
        pub at: StoreTime,
    }
}
