//! A request that must not run twice.

use std::time::Duration;

use super::{BodyDigest, OnceKey};
use crate::time::MonotonicTime;

record_type! {
    /// A request that is about to be claimed.
    pub struct OnceCall {
        /// Its key.
        pub key: OnceKey,
        /// Digest of its body.
        pub body_digest: BodyDigest,
        /// How long its record answers repeats.
        pub retention: Duration,
        /// When the caller gives up.
        pub deadline: MonotonicTime,
    }
}
