//! Refusal of a claim.

use crate::{outcome::RefusalReason, table::RowVersion};

value_type! {
    /// Refusal of a request that was not dispatched and never will be under this claim.
    pub struct ClaimRefusal {
        /// Reason of the refusal.
        pub reason: RefusalReason,
        /// What the claim may have written to the table and has to be released from there.
        pub(super) effect: ClaimEffect,
    }
}

value_type! {
    /// What a claim that won't be dispatched may have written to the table.
    pub(super) enum ClaimEffect {
        /// Nothing, now or later.
        None,
        /// A write conditional on this version (`None`: no row) may have taken effect, or may still do so.
        InDoubt(Option<RowVersion>),
        /// The claim is stored at this version.
        Stored(RowVersion),
    }
}

impl ClaimRefusal {
    pub(super) fn new(reason: RefusalReason, effect: ClaimEffect) -> Self {
        Self { reason, effect }
    }
}
