//! Decision on starting work while a process may be draining.

value_type! {
    /// Decision on whether work may start.
    pub enum StartDecision {
        /// The work may start and counts as in flight until [`DrainState::finish`](super::DrainState::finish) is
        /// called, exactly once.
        Started,
        /// The work must be refused as not run, with the reason `leaving`.
        Refused,
    }
}
