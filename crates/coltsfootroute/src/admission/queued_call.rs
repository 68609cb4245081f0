//! A call in the queue.

use super::WaitingCall;
use crate::{outcome::RefusalReason, time::MonotonicTime};

value_type! {
    /// A call that waits for a slot.
    pub(super) struct QueuedCall {
        /// The call.
        pub call: WaitingCall,
        /// When it is given up, unless started before.
        pub expiry: MonotonicTime,
        /// The reason it is refused for at `expiry`.
        pub expiry_reason: RefusalReason,
    }
}
