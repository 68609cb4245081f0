//! Refusal at the root.

use super::RetryAfter;
use crate::name::ServiceName;

record_type! {
    /// A request refused before any part of it ran, because a service it would reach sheds.
    #[derive(thiserror::Error)]
    #[error("service `{service}` sheds work of this importance")]
    pub struct ShedRefusal {
        /// The service that sheds most.
        pub service: ServiceName,
        /// When the caller may come back.
        pub retry_after: RetryAfter,
    }
}
