//! Signal that determines a guard's shed level.

value_type! {
    /// Signal that determines a guard's shed level.
    #[derive(Default)]
    pub enum ShedPolicy {
        /// Share of calls that the gate refuses. Suits calls that are cheap to refuse, since under
        /// overload some calls are always refused at the guard.
        #[default]
        Refusals,
        /// Demand of the callers relative to the slots. Suits nested calls, whose refusal at the guard
        /// wastes the work already done for the request: the root refuses requests before the gate
        /// has to.
        Demand,
    }
}
