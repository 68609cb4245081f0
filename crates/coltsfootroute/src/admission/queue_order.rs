//! Service order among waiting calls of one client.

value_type! {
    /// Order in which the waiting calls of one client are served within one importance.
    #[derive(Default)]
    pub enum QueueOrder {
        /// Serves the oldest call first.
        #[default]
        OldestFirst,
        /// Serves the oldest call first, but the newest once the queue has been non-empty for the overload
        /// interval: under overload the oldest calls are the least likely to finish in time.
        NewestFirstUnderOverload,
    }
}
