//! What a guard's shed level follows.

value_type! {
    /// What a guard's shed level follows.
    #[derive(Default)]
    pub enum ShedPolicy {
        /// The share of calls that the gate has to refuse. Suits calls that are cheap to refuse: some are
        /// always refused at the guard.
        #[default]
        Refusals,
        /// The work that callers want done against the slots. Suits calls nested below work under way,
        /// which a refusal at the guard wastes: the root refuses before the gate has to.
        Demand,
    }
}
