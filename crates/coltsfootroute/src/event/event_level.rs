//! Severity of an event.

value_type! {
    /// Severity of an event. Determines which log settings show the event, never whether it is recorded.
    pub enum EventLevel {
        /// A condition that must never occur.
        Error,
        /// An operator may have to act.
        Warn,
        /// A change of state that is rare in normal operation.
        Info,
        /// An event that occurs for each request or attempt.
        Debug,
    }
}
