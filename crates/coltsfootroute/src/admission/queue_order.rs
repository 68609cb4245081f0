//! Order of service within one importance.

value_type! {
    /// Which waiting call of one client goes first within one importance.
    #[derive(Default)]
    pub enum QueueOrder {
        /// The oldest.
        #[default]
        OldestFirst,
        /// The oldest, but the newest while a queue has stood for the overload interval: then the
        /// oldest are the least likely to finish in time.
        NewestFirstUnderOverload,
    }
}
