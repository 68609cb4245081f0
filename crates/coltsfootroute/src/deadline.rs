//! Deadlines of calls: propagation along the call chain and checks before work starts.

mod deadline_check;
mod deadline_verdict;
mod remaining;
mod service_times;
mod time_estimate;

pub use deadline_check::DeadlineCheck;
pub use deadline_verdict::DeadlineVerdict;
pub use remaining::Remaining;
pub use service_times::ServiceTimes;
pub use time_estimate::TimeEstimate;
