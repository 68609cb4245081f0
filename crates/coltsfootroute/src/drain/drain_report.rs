//! What keeps a leave from its end.

use std::time::Duration;

value_type! {
    /// A leave that takes longer than its bound. Nothing is cut off: whoever stops the process
    /// decides, knowing what is left.
    pub struct DrainReport {
        /// Work in flight.
        pub in_flight: u64,
        /// Time since the leave began.
        pub waited: Duration,
    }
}
