//! Entry of the queue of waiting calls.

use super::WaitingCall;
use crate::{outcome::RefusalReason, time::MonotonicTime};

value_type! {
    /// Call that waits for a slot.
    pub(super) struct QueuedCall {
        /// The waiting call.
        pub call: WaitingCall,
        /// Time at which the call is refused unless it has started.
        pub expiry: MonotonicTime,
        /// Reason for the refusal at `expiry`.
        pub expiry_reason: RefusalReason,
    }
}
