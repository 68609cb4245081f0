//! Refusal of a request at the root.

use super::RetryAfter;
use crate::name::ServiceName;

record_type! {
    /// Refusal of a request before any part of it ran, because a service that it would reach sheds load.
    #[derive(thiserror::Error)]
    #[error("service `{service}` sheds work of this importance")]
    pub struct ShedRefusal {
        /// Service with the highest shed level.
        pub service: ServiceName,
        /// Time to wait before a retry.
        pub retry_after: RetryAfter,
    }
}
