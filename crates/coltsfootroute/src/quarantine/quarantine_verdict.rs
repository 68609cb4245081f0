//! Decision whether a request may be forwarded.

use std::time::Duration;

value_type! {
    /// Decision whether a request may be forwarded.
    pub enum QuarantineVerdict {
        /// The request is not quarantined.
        Free,
        /// The request was in flight at too many crashes. Its caller may retry after this time.
        Held(Duration),
        /// The request is quarantined, but may run once as a trial if no other node has claimed that.
        TrialDue,
    }
}
