//! Rate limits that upstreams name in their answers.
//!
//! An upstream in need names the requests per second that it accepts from all callers together, in each of its answers
//! for as long as the limit applies.

mod limit_change;
mod limit_tracker;
mod request_rate;

pub use limit_change::LimitChange;
pub use limit_tracker::LimitTracker;
pub use request_rate::RequestRate;
