//! Whether a request may be sent on.

use std::time::Duration;

value_type! {
    /// Whether a request may be sent on.
    pub enum QuarantineVerdict {
        /// Nothing is held against it.
        Free,
        /// It has ended too many upstreams. Its caller may ask again after this time.
        Held(Duration),
        /// The same, but one run may show that it does not end its upstream, if nobody else has made it.
        TrialDue,
    }
}
