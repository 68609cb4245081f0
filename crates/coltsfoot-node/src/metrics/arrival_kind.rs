//! Kind of a call that is sent to the upstream.

use super::metric_label::metric_label;

metric_label! {
    /// Kind of a call that is sent to the upstream.
    ArrivalKind {
        /// First attempt of a client's call.
        First => "first",
        /// First attempt of a nested call.
        Nested => "nested",
        /// Repeat of a call that has reached an upstream before.
        Repeat => "repeat",
    }
}
