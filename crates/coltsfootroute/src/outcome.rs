//! Outcomes and refusal reasons reported to callers.

mod call_outcome;
mod refusal_reason;

pub use call_outcome::CallOutcome;
pub use refusal_reason::RefusalReason;
