//! Priorities of sends when the bandwidth budget is short.

value_type! {
    /// Priority of a send, in ascending order; low priorities are deferred first.
    pub enum SendPriority {
        /// Seeds for other groups, and pulls of services not in use.
        Low,
        /// Pulls of services in use, replies to pulls, and indirect probes.
        Normal,
        /// Probes, acknowledgements and leaves.
        High,
    }
}
