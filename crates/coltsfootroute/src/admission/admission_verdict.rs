//! Decision on a call, with the call's identifier.

use super::AdmissionDecision;

value_type! {
    /// Decision on one call: the call just offered or any call that was offered earlier and has waited.
    pub struct AdmissionVerdict {
        /// Identifier of the call in its [`WaitingCall`](super::WaitingCall).
        pub id: u64,
        /// The decision.
        pub decision: AdmissionDecision,
    }
}
