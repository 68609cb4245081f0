//! Decision of the gate on a call.

use crate::outcome::RefusalReason;

value_type! {
    /// Final decision of the guard on a call.
    pub enum AdmissionDecision {
        /// Dispatch the call now, and report its end to the gate.
        Run,
        /// Send the refusal to the caller now: the call has not been dispatched and never will be.
        Refuse(RefusalReason),
    }
}
