//! Decision together with the call it concerns.

use super::AdmissionDecision;

value_type! {
    /// A decision on one call, which may be any call that was offered earlier and has waited.
    pub struct AdmissionVerdict {
        /// The call, as numbered in its [`WaitingCall`](super::WaitingCall).
        pub id: u64,
        /// What to do with it.
        pub decision: AdmissionDecision,
    }
}
