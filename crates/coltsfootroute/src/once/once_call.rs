//! A request that must run at most once.

use std::time::Duration;

use super::{BodyDigest, OnceKey};
use crate::time::MonotonicTime;

record_type! {
    /// A request whose key is about to be claimed.
    pub struct OnceCall {
        /// Key of the request.
        pub key: OnceKey,
        /// Digest of the request's body.
        pub body_digest: BodyDigest,
        /// Time for which the record answers repeats.
        pub retention: Duration,
        /// Time at which the caller stops waiting.
        pub deadline: MonotonicTime,
    }
}
