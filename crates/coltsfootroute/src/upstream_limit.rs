//! Rate limits that upstreams name in their answers.
//!
//! An upstream in need names the requests per second that it accepts from all callers together, in each of its answers
//! for as long as the limit applies.

mod known_notices;
mod limit_change;
mod limit_tracker;
mod rate_limiter;
mod request_rate;
mod upstream_notice;

pub use known_notices::KnownNotices;
pub use limit_change::LimitChange;
pub use limit_tracker::LimitTracker;
pub use rate_limiter::RateLimiter;
pub use request_rate::RequestRate;
pub use upstream_notice::UpstreamNotice;
