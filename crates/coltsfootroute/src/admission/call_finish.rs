//! How a call that ran has ended.

value_type! {
    /// The end of a call that was dispatched to the upstream.
    pub enum CallFinish {
        /// The upstream answered in full.
        Succeeded,
        /// The upstream failed or its connection broke.
        Failed,
        /// The upstream refused the call because of its own load.
        ShedByUpstream,
        /// The deadline passed before the answer came.
        TimedOut,
        /// The caller gave the call up and the upstream has let go of it.
        Cancelled,
    }
}
