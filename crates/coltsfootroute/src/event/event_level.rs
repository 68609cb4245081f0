//! How severe an event is.

value_type! {
    /// How severe an event is; decides which log settings show it, never whether it is recorded.
    pub enum EventLevel {
        /// Something that must never happen.
        Error,
        /// An operator may have to act.
        Warn,
        /// A change of state, rare in ordinary work.
        Info,
        /// One per request or attempt.
        Debug,
    }
}
