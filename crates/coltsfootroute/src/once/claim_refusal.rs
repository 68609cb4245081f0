//! Refusal of a claim.

use crate::{outcome::RefusalReason, table::RowVersion};

value_type! {
    /// The request was not dispatched and never will be under this claim.
    pub struct ClaimRefusal {
        /// Why.
        pub reason: RefusalReason,
        /// Whether and where the claim may stand in the table, so that it has to be released.
        pub(super) effect: ClaimEffect,
    }
}

value_type! {
    /// What a claim that won't be dispatched may have left in the table.
    pub(super) enum ClaimEffect {
        /// Nothing, now or later.
        None,
        /// A write on the base given (`None`: no row) may have taken effect, or may still do so.
        InDoubt(Option<RowVersion>),
        /// The claim stands at this version.
        Stored(RowVersion),
    }
}

impl ClaimRefusal {
    pub(super) fn new(reason: RefusalReason, effect: ClaimEffect) -> Self {
        Self { reason, effect }
    }
}
