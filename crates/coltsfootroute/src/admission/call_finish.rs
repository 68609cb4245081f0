//! Result of a call that ran.

value_type! {
    /// Result of a call that was dispatched to the upstream.
    pub enum CallFinish {
        /// The upstream sent a complete response.
        Succeeded,
        /// The upstream failed or its connection broke.
        Failed,
        /// The upstream rejected the call because it is overloaded.
        ShedByUpstream,
        /// The deadline passed before the response arrived.
        TimedOut,
        /// The caller cancelled the call and the upstream has stopped working on it.
        Cancelled,
    }
}
