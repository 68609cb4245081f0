//! Results of a request to the platform's store.

use super::metric_label::metric_label;

metric_label! {
    /// How a request to the platform's store ended.
    StoreResult {
        /// Answered; a write took effect.
        Done => "done",
        /// Answered; a condition did not hold.
        Conflict => "conflict",
        /// Refused, or could not be sent; it took no effect.
        Unavailable => "unavailable",
        /// No usable answer in time; a write may have taken effect.
        TimedOut => "timed-out",
        /// Not sent: this node's share of the rate is used up, the breaker is open, or the time was over.
        Limited => "limited",
    }
}
