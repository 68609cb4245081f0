//! What a caller is told of its request.

mod call_outcome;
mod refusal_reason;

pub use call_outcome::CallOutcome;
pub use refusal_reason::RefusalReason;
