//! Decision on a call.

use crate::outcome::RefusalReason;

value_type! {
    /// What the guard decided on a call; final for that call.
    pub enum AdmissionDecision {
        /// Dispatch the call now; its end is to be reported to the gate.
        Run,
        /// Answer the caller now: the call was not dispatched and never will be.
        Refuse(RefusalReason),
    }
}
