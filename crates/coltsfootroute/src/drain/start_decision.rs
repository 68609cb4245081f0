//! Whether work may start.

value_type! {
    /// Whether work may start.
    pub enum StartDecision {
        /// It is counted as in flight and must be finished once.
        Started,
        /// It must be refused as not run, with the reason `leaving`.
        Refused,
    }
}
