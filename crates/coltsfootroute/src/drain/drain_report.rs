//! Report of an overdue drain.

use std::time::Duration;

value_type! {
    /// Report of a drain that takes longer than [`DrainSettings::report_after`](super::DrainSettings::report_after).
    /// No work is interrupted; the operator who stops the process decides, based on the report.
    pub struct DrainReport {
        /// Number of requests and calls in flight.
        pub in_flight: u64,
        /// Number of requests whose answers have not been handed over, those in flight included.
        pub unsent: usize,
        /// Time since the start of the drain.
        pub waited: Duration,
    }
}
