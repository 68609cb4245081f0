//! Which sends go first when bytes are short.

value_type! {
    /// Worth of a send, ascending; low ones are deferred first.
    pub enum SendPriority {
        /// Seeds to other groups, cold pulls.
        Low,
        /// Hot pulls and their answers, indirect probes.
        Normal,
        /// Probes, acknowledgements, leaves.
        High,
    }
}
